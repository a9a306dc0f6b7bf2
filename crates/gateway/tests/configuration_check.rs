//! The check of a configuration before it is sent, and what it says of the version in force.

use std::time::Duration;

use azuregap_gateway::configuration;
use azuregap_gateway::decision::homes;
use googletest::prelude::*;

/// What is changed in a configuration.
type Change = fn(&mut configuration::Draft);

/// A configuration in which nothing is wrong.
fn sound() -> configuration::Draft {
    configuration::Draft {
        version: 7,
        limits: configuration::Limits { max_body_bytes: 4_096, ..configuration::Limits::default() },
        services: vec![service("engines"), service("desk")],
        routes: vec![
            route("ask", "/ask/", configuration::RouteKind::Idempotent, &[("engines", 1)]),
            route("book", "/book/", configuration::RouteKind::NonIdempotent, &[("desk", 1)]),
        ],
        teams: Some(vec![team("clinic", &["key-1", "key-2"]), team("pharmacy", &["key-3"])]),
    }
}

fn service(name: &str) -> configuration::Service {
    configuration::Service { name: name.to_owned(), max_connections: 100, cold_start: None }
}

fn route(
    name: &str,
    prefix: &str,
    kind: configuration::RouteKind,
    services: &[(&str, u32)],
) -> configuration::Route {
    let weighted = |(service, weight): &(&str, u32)| configuration::WeightedService {
        service: (*service).to_owned(),
        weight: *weight,
    };
    configuration::Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        services: services.iter().map(weighted).collect(),
        timeout: Duration::from_millis(600),
        latency_target: Duration::from_millis(120),
        tier: 1,
        max_attempts: 1,
        public: false,
        homes: homes::Regions::new(),
    }
}

fn team(name: &str, keys: &[&str]) -> configuration::DeclaredTeam {
    configuration::DeclaredTeam {
        team: configuration::Team { name: name.to_owned(), tier: 0, homes: homes::Regions::new() },
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
    }
}

/// Adds a team to those that are listed.
fn add(draft: &mut configuration::Draft, name: &str, keys: &[&str]) {
    draft.teams.get_or_insert_default().push(team(name, keys));
}

fn path_of(place: configuration::Place) -> String {
    format!("{:?}.{:?}", place.entry, place.field)
}

/// Findings of a changed configuration, a line each.
fn findings(change: impl Fn(&mut configuration::Draft)) -> String {
    let mut draft = sound();
    change(&mut draft);
    let vms = [("small".to_owned(), 1 << 20), ("large".to_owned(), 1 << 30)];
    let found = configuration::check(&draft, &vms, path_of);
    let lines = found.iter().map(|finding| {
        let configuration::Finding { path, value, code, severity, expected } = finding;
        format!("{} {} at {path}, {value}: {expected}", severity.name(), code.number())
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[gtest]
fn a_sound_configuration_has_no_findings() {
    expect_that!(findings(|_| {}), eq(""));
}

#[gtest]
fn entries_that_never_match_are_found() {
    const IDEMPOTENT: configuration::RouteKind = configuration::RouteKind::Idempotent;
    let cases: [(&str, Change); 8] = [
        ("a prefix behind an equal one", |draft| {
            let mut again = route("again", "/ask/", IDEMPOTENT, &[("desk", 1)]);
            again.host = "A.example".to_owned();
            draft.routes.push(again);
        }),
        ("a prefix without a slash, and a host with a port", |draft| {
            draft.routes[0].prefix = "/ask".to_owned();
            draft.routes[1].host = "a.example:443".to_owned();
        }),
        ("a service without a definition", |draft| {
            draft.routes[0].services[0].service = "engine".to_owned();
        }),
        ("a service with weight 0", |draft| {
            draft.routes[0] = route("ask", "/ask/", IDEMPOTENT, &[("engines", 9), ("desk", 0)]);
        }),
        ("only weights of 0, and no service", |draft| {
            draft.routes[0].services[0].weight = 0;
            draft.routes[1].services.clear();
        }),
        ("a key of two teams, one without a key, an empty one", |draft| {
            add(draft, "lab", &["key-2"]);
            add(draft, "ward", &[]);
            add(draft, "desk", &[""]);
        }),
        ("teams that no route takes", |draft| {
            draft.routes.iter_mut().for_each(|route| route.public = true);
        }),
        ("names that are used twice", |draft| {
            draft.routes[1].name = "ask".to_owned();
            draft.services.push(service("desk"));
            add(draft, "clinic", &["key-4"]);
        }),
    ];
    let told = cases.map(|(name, change)| format!("# {name}\n{}\n", findings(change)));
    insta::assert_snapshot!(told.concat());
}

#[gtest]
fn limits_that_contradict_each_other_are_found() {
    let cases: [(&str, Change); 6] = [
        ("a time-out under the latency target", |draft| {
            draft.routes[0].timeout = Duration::from_millis(100);
        }),
        ("no time at all", |draft| draft.routes[0].timeout = Duration::ZERO),
        ("a pause over the time-out", |draft| {
            let max_gap = Duration::from_millis(700);
            draft.routes[0].kind = configuration::RouteKind::Stream { resumable: true, max_gap };
        }),
        ("attempts over one for what may run once", |draft| {
            let max_gap = Duration::from_millis(200);
            draft.routes[0].kind = configuration::RouteKind::Stream { resumable: false, max_gap };
            draft.routes.iter_mut().for_each(|route| route.max_attempts = 2);
        }),
        ("no attempt, and no connection", |draft| {
            draft.routes[0].max_attempts = 0;
            draft.services[0].max_connections = 0;
        }),
        ("bodies over the memory of a VM", |draft| draft.limits.max_body_bytes = 4 << 20),
    ];
    let told = cases.map(|(name, change)| format!("# {name}\n{}\n", findings(change)));
    insta::assert_snapshot!(told.concat());
}

#[gtest]
fn no_finding_or_difference_shows_a_key() {
    let mut draft = sound();
    add(&mut draft, "lab", &["key-2", "key-9"]);
    let found = configuration::check(&draft, &[], path_of);
    let changes = configuration::compare(&sound(), &draft);
    expect_that!(format!("{found:?}{changes:?}"), not(contains_substring("key-")));
}

/// Differences to the sound configuration, a line each.
fn differences(change: impl Fn(&mut configuration::Draft)) -> String {
    let mut draft = sound();
    change(&mut draft);
    let changes = configuration::compare(&sound(), &draft);
    let lines = changes.iter().map(|change| format!("{}: {}", change.entry, change.change));
    lines.collect::<Vec<_>>().join("\n")
}

#[gtest]
fn differences_are_told_in_the_words_of_operators() {
    expect_that!(differences(|_| {}), eq(""));
    let cases: [(&str, Change); 4] = [
        ("routes", |draft| {
            draft.version = 9;
            draft.limits.max_body_bytes = 8_192;
            let kind = configuration::RouteKind::NonIdempotent;
            let split = [("engines", 9), ("desk", 1)];
            draft.routes[0] = route("ask", "/ask/", kind, &split);
            draft.routes[0].timeout = Duration::from_millis(900);
            draft.routes[0].public = true;
            draft.routes[1].prefix = "/order/".to_owned();
        }),
        ("a route that others stand before", |draft| draft.routes.swap(0, 1)),
        ("services", |draft| {
            draft.services[0].max_connections = u32::MAX;
            draft.services[1].name = "counter".to_owned();
        }),
        ("teams", |draft| {
            let keys = ["key-1", "key-7", "key-8", "key-3"];
            let mut clinic = team("clinic", &keys);
            clinic.team.tier = 2;
            draft.teams = Some(vec![clinic, team("lab", &[])]);
        }),
    ];
    let told = cases.map(|(name, change)| format!("# {name}\n{}\n", differences(change)));
    insta::assert_snapshot!(told.concat());
}

/// Guards against an operator who is told that no key is needed when all of them are withdrawn.
#[gtest]
fn who_is_let_in_without_teams_is_told_as_gateways_decide() {
    let cases: [(&str, Change); 3] = [
        ("an empty list", |draft| draft.teams = Some(Vec::new())),
        ("no team has a key", |draft| draft.teams = Some(vec![team("clinic", &[])])),
        ("no list", |draft| draft.teams = None),
    ];
    let told = cases.map(|(name, change)| {
        format!("# {name}\n{}\n# its findings\n{}\n", differences(change), findings(change))
    });
    insta::assert_snapshot!(told.concat());
}

#[gtest]
fn a_list_of_teams_after_none_is_told() {
    let old = configuration::Draft { teams: None, ..sound() };
    let changes = configuration::compare(&old, &sound());
    let told = changes.iter().map(|change| format!("{}: {}", change.entry, change.change));
    expect_that!(
        told.collect::<Vec<_>>(),
        contains(eq("keys: routes that aren't public need one from now on"))
    );
}
