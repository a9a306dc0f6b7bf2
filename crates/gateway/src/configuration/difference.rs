//! What a version of the configuration changes, in words for operators. No key is shown.

use std::collections;
use std::time::Duration;

use super::draft;
use super::route;

/// A change of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// What changes.
    pub entry: String,
    /// How it changes.
    pub change: String,
}

/// Changes so far.
#[derive(Debug, Default)]
struct Differences(Vec<Difference>);

impl Differences {
    fn add(&mut self, entry: impl Into<String>, change: impl Into<String>) {
        self.0.push(Difference { entry: entry.into(), change: change.into() });
    }

    /// Adds a change of a value unless both are the same.
    fn compare(&mut self, entry: &str, what: &str, old: impl ToString, new: impl ToString) {
        let (old, new) = (old.to_string(), new.to_string());
        if old != new {
            self.add(entry, format!("{what}: {old} -> {new}"));
        }
    }
}

/// What `new` changes of the configuration in force.
#[must_use]
pub fn compare(old: &draft::Draft, new: &draft::Draft) -> Vec<Difference> {
    let mut differences = Differences::default();
    differences.compare("configuration", "version", old.version, new.version);
    let most = |draft: &draft::Draft| draft.limits.max_body_bytes;
    differences.compare("configuration", "longest body in bytes", most(old), most(new));
    compare_routes(&mut differences, old, new);
    compare_services(&mut differences, old, new);
    compare_teams(&mut differences, old, new);
    differences.0
}

/// Routes by what callers see of them; of several with the same host and prefix, the first counts.
fn routes_by_match(draft: &draft::Draft) -> collections::BTreeMap<(String, &str), &route::Route> {
    let mut routes = collections::BTreeMap::new();
    for route in &draft.routes {
        let key = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        routes.entry(key).or_insert(route);
    }
    routes
}

fn compare_routes(differences: &mut Differences, old: &draft::Draft, new: &draft::Draft) {
    let (old, new) = (routes_by_match(old), routes_by_match(new));
    for (key, route) in &old {
        let entry = route_entry(route);
        let Some(other) = new.get(key) else {
            differences.add(entry, "removed: a shorter prefix takes its requests, or they get 404");
            continue;
        };
        differences.compare(&entry, "name", &route.name, &other.name);
        differences.compare(&entry, "requests go to", shares(route), shares(other));
        differences.compare(&entry, "its requests", kind(route), kind(other));
        differences.compare(&entry, "time-out", millis(route.timeout), millis(other.timeout));
        let (old, new) = (millis(route.latency_target), millis(other.latency_target));
        differences.compare(&entry, "latency target", old, new);
        let gap = |route: &route::Route| route.kind.max_gap().map_or("none".to_owned(), millis);
        differences.compare(&entry, "longest pause", gap(route), gap(other));
        let (old, new) = (route.max_attempts, other.max_attempts);
        differences.compare(&entry, "backend servers on which a request may run", old, new);
        differences.compare(&entry, "tier", route.tier, other.tier);
        let key = |route: &route::Route| if route.public { "not needed" } else { "needed" };
        differences.compare(&entry, "a key is", key(route), key(other));
    }
    for (_, route) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
        let (to, timeout) = (shares(route), millis(route.timeout));
        let change = format!("added: requests go to {to}, {}, time-out {timeout}", kind(route));
        differences.add(route_entry(route), change);
    }
}

fn compare_services(differences: &mut Differences, old: &draft::Draft, new: &draft::Draft) {
    let connections = |draft: &draft::Draft| -> collections::BTreeMap<_, _> {
        let services = draft.services.iter();
        services.map(|service| (service.name.clone(), service.max_connections)).collect()
    };
    let name = |most: u32| if most == u32::MAX { "no limit".to_owned() } else { most.to_string() };
    let (old, new) = (connections(old), connections(new));
    for (service, most) in &old {
        let entry = format!("service '{service}'");
        match new.get(service) {
            None => differences.add(entry, "removed"),
            Some(other) => {
                let what = "connections to a backend server";
                differences.compare(&entry, what, name(*most), name(*other));
            }
        }
    }
    for service in new.keys().filter(|service| !old.contains_key(*service)) {
        differences.add(format!("service '{service}'"), "added");
    }
}

fn compare_teams(differences: &mut Differences, old: &draft::Draft, new: &draft::Draft) {
    let has_keys = |draft: &draft::Draft| {
        draft.listed_teams().iter().any(|team| team.sendable_keys().next().is_some())
    };
    match (&old.teams, &new.teams) {
        (Some(_), None) => {
            let change =
                "no route needs one any more, unless the settings of a gateway ask for keys";
            differences.add("keys", change);
        }
        (None, Some(_)) => {
            differences.add("keys", "routes that aren't public need one from now on");
        }
        _ => {}
    }
    if has_keys(old) && new.teams.is_some() && !has_keys(new) {
        differences.add("keys", "nobody has one any more: routes that aren't public answer 401");
    }
    let withdrawn = if new.teams.is_some() { "withdrawn, which get 401" } else { "withdrawn" };
    let (old, new) = (teams_by_name(old), teams_by_name(new));
    let held: collections::HashSet<&str> =
        new.values().flat_map(|(_, keys)| keys).copied().collect();
    let none = collections::BTreeSet::new();
    for (team, (tier, keys)) in &old {
        let entry = format!("team '{team}'");
        let new_keys = match new.get(team) {
            Some((new_tier, new_keys)) => {
                differences.compare(&entry, "tier", tier, new_tier);
                new_keys
            }
            None => {
                differences.add(&entry, format!("removed with {} key(s)", keys.len()));
                &none
            }
        };
        let gone = || keys.difference(new_keys);
        let moved = gone().filter(|key| held.contains(*key)).count();
        for (count, what) in [
            (new_keys.difference(keys).count(), "added"),
            (moved, "moved to another team"),
            (gone().count() - moved, withdrawn),
        ] {
            if count > 0 {
                differences.add(&entry, format!("{count} key(s) {what}"));
            }
        }
    }
    for (team, (_, keys)) in new.iter().filter(|(team, _)| !old.contains_key(*team)) {
        differences.add(format!("team '{team}'"), format!("added with {} key(s)", keys.len()));
    }
}

/// Tier and keys of each team.
fn teams_by_name(
    draft: &draft::Draft,
) -> collections::BTreeMap<&str, (u8, collections::BTreeSet<&str>)> {
    let mut teams = collections::BTreeMap::new();
    for declared in draft.listed_teams() {
        let team = teams
            .entry(declared.team.name.as_str())
            .or_insert_with(|| (declared.team.tier, collections::BTreeSet::new()));
        team.1.extend(declared.sendable_keys());
    }
    teams
}

fn route_entry(route: &route::Route) -> String {
    format!("route '{}' ({}{})", route.name, route.host, route.prefix)
}

fn shares(route: &route::Route) -> String {
    let total: u32 = route.services.iter().map(|weighted| weighted.weight).sum();
    let share = |weighted: &route::WeightedService| {
        let percent = f64::from(weighted.weight) * 100.0 / f64::from(total.max(1));
        format!("{} {}%", weighted.service, (percent * 10.0).round() / 10.0)
    };
    let shares: Vec<_> = route.services.iter().map(share).collect();
    if shares.is_empty() { "no service".to_owned() } else { shares.join(", ") }
}

const fn kind(route: &route::Route) -> &'static str {
    match route.kind {
        route::RouteKind::Idempotent => "may run more than once",
        route::RouteKind::NonIdempotent => "run at most once",
        route::RouteKind::Stream { resumable: true, .. } => "are streams that may be resumed",
        route::RouteKind::Stream { .. } => "are streams that run at most once",
    }
}

fn millis(time: Duration) -> String {
    format!("{} ms", time.as_secs_f64() * 1_000.0)
}
