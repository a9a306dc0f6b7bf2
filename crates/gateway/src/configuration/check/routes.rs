//! Checks the routes of a configuration.

use std::collections;
use std::time::Duration;

use azuregap_core::code;

use super::Entry;
use super::Field;
use super::Findings;
use super::Place;
use crate::configuration::draft;
use crate::configuration::route;

/// Characters that no host of a request has where routes are looked up.
const NOT_IN_HOST: [char; 4] = [':', '/', '?', '#'];

/// Characters that no path of a request has.
const NOT_IN_PATH: [char; 3] = ['?', '#', ' '];

pub(super) fn check<F: Fn(Place) -> String>(findings: &mut Findings<F>, draft: &draft::Draft) {
    let (mut matched, mut names) = (collections::HashMap::new(), collections::HashMap::new());
    for (index, route) in draft.routes.iter().enumerate() {
        check_match(findings, index, route);
        let key = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        let first = *matched.entry(key).or_insert(index);
        if first != index {
            let first = findings.path(Entry::Route(first), Field::Prefix);
            let expected = format!("a prefix other than {first}, which takes its requests");
            let at = (Entry::Route(index), Field::Prefix);
            findings.error(at, &route.prefix, code::Code::PartsClash, expected);
        }
        let first = *names.entry(route.name.as_str()).or_insert(index);
        if first != index {
            let first = findings.path(Entry::Route(first), Field::Name);
            let expected = format!("a name other than {first}: logs can't tell them apart");
            findings.warning((Entry::Route(index), Field::Name), &route.name, expected);
        }
        check_services(findings, draft, index, route);
        check_times(findings, index, route);
        check_attempts(findings, index, route);
    }
}

/// Finds what keeps a route from ever matching a request.
fn check_match<F: Fn(Place) -> String>(
    findings: &mut Findings<F>,
    index: usize,
    route: &route::Route,
) {
    let (host, prefix) = (&route.host, &route.prefix);
    if host.is_empty() || host.contains(NOT_IN_HOST) || host.contains(char::is_whitespace) {
        let expected = "a host name without a port: no request matches";
        let at = (Entry::Route(index), Field::Host);
        findings.error(at, host, code::Code::ValueInvalid, expected);
    }
    if !prefix.starts_with('/') || !prefix.ends_with('/') || prefix.contains(NOT_IN_PATH) {
        let expected = "a path that begins and ends with a slash: no request matches";
        let at = (Entry::Route(index), Field::Prefix);
        findings.error(at, prefix, code::Code::ValueInvalid, expected);
    }
}

fn check_services<F: Fn(Place) -> String>(
    findings: &mut Findings<F>,
    draft: &draft::Draft,
    index: usize,
    route: &route::Route,
) {
    let at = (Entry::Route(index), Field::Services);
    if route.services.is_empty() {
        let expected = "a service: nobody serves its requests";
        return findings.error(at, "none", code::Code::ValueInvalid, expected);
    }
    for weighted in &route.services {
        if !draft.services.iter().any(|service| service.name == weighted.service) {
            let expected = "the name of a service of this configuration";
            findings.error(at, &weighted.service, code::Code::NameUnknown, expected);
        }
    }
    let idle: Vec<_> = route.services.iter().filter(|weighted| weighted.weight == 0).collect();
    if idle.len() == route.services.len() {
        let expected = "weights of which one is above 0: nobody serves its requests";
        return findings.error(at, "0", code::Code::ValueInvalid, expected);
    }
    for weighted in idle {
        let expected = "a weight above 0: the service gets no request of the route";
        findings.warning(at, &weighted.service, expected);
    }
}

fn check_times<F: Fn(Place) -> String>(
    findings: &mut Findings<F>,
    index: usize,
    route: &route::Route,
) {
    let (entry, timeout) = (Entry::Route(index), route.timeout);
    if timeout.is_zero() {
        let expected = "more than 0 ms: no request is served in time";
        let value = millis(timeout);
        return findings.error((entry, Field::Timeout), value, code::Code::ValueInvalid, expected);
    }
    let clash = |name| format!("at most the time-out, {}: {name}", millis(timeout));
    if route.latency_target > timeout {
        let (at, value) = ((entry, Field::Target), millis(route.latency_target));
        let expected = clash("requests end before they are late");
        findings.error(at, value, code::Code::PartsClash, expected);
    }
    if let Some(gap) = route.kind.max_gap().filter(|gap| *gap > timeout) {
        let expected = clash("streams end before a pause is too long");
        findings.error((entry, Field::Gap), millis(gap), code::Code::PartsClash, expected);
    }
}

fn check_attempts<F: Fn(Place) -> String>(
    findings: &mut Findings<F>,
    index: usize,
    route: &route::Route,
) {
    let (at, attempts) = ((Entry::Route(index), Field::Attempts), route.max_attempts);
    if attempts == 0 {
        findings.error(at, attempts, code::Code::ValueInvalid, "at least 1");
    }
    if attempts > 1 && !route.kind.may_retry() {
        let expected = "1: a request of this route runs at most once";
        findings.error(at, attempts, code::Code::PartsClash, expected);
    }
}

fn millis(time: Duration) -> String {
    format!("{} ms", time.as_secs_f64() * 1_000.0)
}
