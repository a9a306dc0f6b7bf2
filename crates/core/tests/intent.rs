//! Applies changes to a valid intent and checks the reported faults.

use azuregap_core::intent;
use azuregap_core::settings;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

const VALID: &str = include_str!("../../../examples/swan-coastal/intent.json");

/// JSON pointer into the valid intent and the new value.
type Change = (&'static str, Value);

fn changed(changes: &[Change]) -> std::result::Result<intent::Intent, settings::LoadError> {
    let mut document: Value = serde_json::from_str(VALID).unwrap();
    for (pointer, value) in changes {
        if let Some(target) = document.pointer_mut(pointer) {
            *target = value.clone();
            continue;
        }
        let (parent, name) = pointer.rsplit_once('/').unwrap();
        match document.pointer_mut(parent).unwrap() {
            Value::Array(items) => items.push(value.clone()),
            parent => parent[name] = value.clone(),
        }
    }
    settings::from_text(&document.to_string())
}

/// Lists every case with the faults it causes, one per line.
fn report(cases: &[&[Change]]) -> String {
    let mut lines = Vec::new();
    for changes in cases {
        let assignments: Vec<_> =
            changes.iter().map(|(path, value)| format!("{path} = {value}")).collect();
        lines.push(assignments.join("; "));
        match changed(changes) {
            Ok(intent) => {
                let faults = intent.check();
                assert!(!faults.is_empty(), "{assignments:?} was accepted");
                lines.extend(faults.iter().map(|fault| {
                    format!("    {} {}: {}", fault.code.number(), fault.path, fault.expected)
                }));
            }
            Err(error) => lines.push(format!("    {error}")),
        }
    }
    lines.join("\n")
}

#[gtest]
fn valid_intent_has_no_faults() {
    expect_that!(changed(&[]).unwrap().check(), is_empty());
    expect_that!(intent::Intent::default().check(), is_empty());
}

#[gtest]
fn backend_name_may_combine_the_longest_pool_and_zone_names() {
    let (pool, zone) = ("p".repeat(64), "z".repeat(64));
    let leaving = json!([format!("{pool}-{zone}-0123456789ab")]);
    expect_that!(changed(&[("/leaving", leaving)]).unwrap().check(), is_empty());
    let leaving = json!(["p".repeat(161)]);
    expect_that!(changed(&[("/leaving", leaving)]).unwrap().check(), len(eq(1)));
}

#[gtest]
fn unknown_fields_and_wrong_types_are_reported() {
    let report = report(&[
        &[("/colour", json!("blue"))],
        &[("/classes/0/deadline", json!("60s"))],
        &[("/classes/0/deadline_ms", json!("60s"))],
        &[("/classes/0/tier", json!(-1))],
        &[("/zones/0/spend", json!(20.5))],
        &[("/routes/0/idempotent", json!(null))],
        &[("/routes/0/idempotent", json!("yes"))],
        &[("/pools/0/kind", json!("engine"))],
        &[("/keys/-", json!({"digest": "abc", "team": "kelp-robotics"}))],
    ]);
    insta::assert_snapshot!(report);
}

#[gtest]
fn invalid_classes_are_reported() {
    let report = report(&[
        &[("/classes/1/name", json!("summary"))],
        &[("/classes/0/name", json!(""))],
        &[("/classes/0/name", json!("board summary"))],
        &[("/classes/0/first_token_ms", json!(0))],
        &[("/classes/0/token_gap_ms", json!(600_001))],
        &[("/classes/0/deadline_ms", json!(1000))],
        &[("/classes/0/floor_percent", json!(101))],
        &[("/classes/0/floor_percent", json!(90))],
        &[("/classes/1/floor_percent", json!(0))],
        &[("/classes/1/tier", json!(3))],
    ]);
    insta::assert_snapshot!(report);
}

#[gtest]
fn invalid_teams_and_keys_are_reported() {
    let grant = |team: &str| json!({"digest": "ab".repeat(32), "team": team});
    let empty_digest = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    let report = report(&[
        &[("/teams/1/name", json!("harbour-freight"))],
        &[("/teams/0/weight", json!(0))],
        &[("/teams/0/rate", json!(0))],
        &[("/teams/0/concurrency", json!(0))],
        &[("/keys/-", grant("nobody"))],
        &[("/keys/-", grant("kelp-robotics")), ("/keys/-", grant("banksia-health"))],
        &[("/keys/-", json!({"digest": empty_digest, "team": "kelp-robotics"}))],
    ]);
    insta::assert_snapshot!(report);
}

#[gtest]
fn invalid_pools_and_zones_are_reported() {
    let report = report(&[
        &[("/pools/1/name", json!("advisor-model"))],
        &[("/pools/0/slots", json!(0))],
        &[("/pools/0/throughput", json!(0))],
        &[("/pools/0/max_replicas", json!(2))],
        &[("/pools/0/min_replicas", json!(0)), ("/pools/0/max_replicas", json!(0))],
        &[("/zones/1/name", json!("perth-north"))],
        &[("/zones/0/region", json!(""))],
        &[("/zones/0/price", json!(0))],
        &[("/zones/0/spend", json!(20))],
        &[("/leaving/-", json!("advisor-model-1")), ("/leaving/-", json!("advisor-model-1"))],
    ]);
    insta::assert_snapshot!(report);
}

#[gtest]
fn invalid_routes_are_reported() {
    let report = report(&[
        &[("/routes/1/name", json!("chat"))],
        &[("/routes/0/pool", json!("oracle"))],
        &[("/routes/0/class", json!("gossip"))],
        &[("/routes/0/prefix", json!("/v1/embeddings"))],
        &[("/routes/0/methods", json!(["GET"]))],
        &[("/routes/0/require_key", json!(true))],
        &[("/routes/1/class", json!("chat"))],
        &[("/routes/1/open", json!(true))],
        &[("/routes/3/prefix", json!("/v1/accounts"))],
        &[("/routes/3/prefix", json!("/healthz"))],
        &[("/routes/3/prefix", json!("accounts"))],
        &[("/routes/3/prefix", json!("/a/../b"))],
        &[("/routes/3/prefix", json!("/a?b"))],
        &[("/routes/3/methods", json!(["get"]))],
        &[("/routes/3/methods", json!(["GET", "GET"]))],
        &[("/routes/3/prefix", json!("/billing-app/tariffs/"))],
        &[("/routes/7/methods", json!([]))],
        &[("/routes/3/require_key", json!(true))],
        &[("/routes/6/open", json!(true))],
        &[("/routes/3/max_body", json!(0))],
    ]);
    insta::assert_snapshot!(report);
}
