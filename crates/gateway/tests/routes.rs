//! Lookups of routes, also in configurations with many of them.

mod support;

use std::time::Duration;

use azuregap_gateway::configuration;
use googletest::prelude::*;
use nix::time as nix_time;
use support::loopback;

fn route(host: &str, prefix: &str) -> configuration::Route {
    let route = loopback::route(prefix, configuration::RouteKind::Idempotent, 1);
    configuration::Route { host: host.to_owned(), ..route }
}

#[gtest]
fn the_longest_prefix_of_a_path_is_found() {
    let prefixes = ["/", "/a/", "/a/b/", "/a/b/c/d/"];
    let configuration = prefixes
        .iter()
        .map(|prefix| route("h", prefix))
        .fold(configuration::Configuration::new(1), configuration::Configuration::with_route);
    for (host, path, prefix) in [
        ("h", "/", Some("/")),
        ("h", "/x", Some("/")),
        ("h", "/a", Some("/")),
        ("h", "/a/", Some("/a/")),
        ("h", "/ab/", Some("/")),
        ("h", "/a/b/c/x", Some("/a/b/")),
        ("h", "/a/b/c/d/", Some("/a/b/c/d/")),
        ("H:80", "/a//b", Some("/a/")),
        ("h", "*", None),
        ("h", "", None),
        ("other", "/a/", None),
    ] {
        let found = configuration.find_route(host, path);
        let found = found.as_ref().map(|route| route.prefix.as_str());
        expect_that!(found, eq(prefix), "{host} {path}");
    }
}

/// Processor time of this thread.
fn processor_time() -> Duration {
    let clock = nix_time::ClockId::CLOCK_THREAD_CPUTIME_ID;
    nix_time::clock_gettime(clock).map(Duration::from).expect("a clock of the thread")
}

/// All routes of a host were sorted again after each one, on the thread that serves requests.
#[gtest]
fn routes_of_one_host_are_indexed_as_fast_as_those_of_many_hosts() {
    const ROUTES: usize = 16_000;
    let build = |host: fn(usize) -> String| {
        let routes: Vec<_> =
            (0..ROUTES).map(|at| route(&host(at), &format!("/r{at:06}/"))).collect();
        let started = processor_time();
        let new = configuration::Configuration::new(1);
        let configuration = routes.into_iter().fold(new, configuration::Configuration::with_route);
        let indexed = processor_time();
        for at in 0..ROUTES {
            let found = configuration.find_route(&host(at), &format!("/r{at:06}/x"));
            assert!(found.is_some_and(|route| route.prefix.ends_with(&format!("{at:06}/"))));
        }
        (indexed - started, processor_time() - indexed)
    };
    let (many_hosts, many_lookups) = build(|at| format!("h{at}"));
    let (one_host, one_lookups) = build(|_| "h".to_owned());
    expect_that!(one_host, lt(many_hosts * 10));
    expect_that!(one_lookups, lt(many_lookups * 10));
}
