//! One change at a time to sound settings, and the faults that each brings.

use azuregap_core::intent;
use azuregap_core::settings;
use googletest::prelude::*;
use serde::de;
use serde_json::Value;
use serde_json::json;

const ENTRY: &str = include_str!("../../../examples/academy/entry-praha-a.json");
const AGENT: &str = include_str!("../../../examples/academy/agent-scenario-1.json");
const INTENT: &str = include_str!("../../../examples/academy/intent.json");

/// Pointer to a value of the sound document and what replaces it.
type Change = (&'static str, Value);

fn changed<T: de::DeserializeOwned>(
    sound: &str,
    (pointer, value): &Change,
) -> std::result::Result<T, settings::LoadError> {
    let mut document: Value = serde_json::from_str(sound).unwrap();
    match document.pointer_mut(pointer) {
        Some(place) => *place = value.clone(),
        None => document[&pointer[1..]] = value.clone(),
    }
    settings::from_text(&document.to_string())
}

/// Every case with the faults it brings, one a line.
fn report<T: de::DeserializeOwned>(
    sound: &str,
    check: impl Fn(&T) -> Vec<intent::Fault>,
    cases: &[Change],
) -> String {
    let mut lines = Vec::new();
    for change in cases {
        lines.push(format!("{} = {}", change.0, change.1));
        match changed(sound, change) {
            Ok(settings) => {
                let faults = check(&settings);
                assert!(!faults.is_empty(), "{change:?} was taken");
                lines.extend(faults.iter().map(line));
            }
            Err(error) => lines.push(format!("    {error}")),
        }
    }
    lines.join("\n")
}

fn line(fault: &intent::Fault) -> String {
    format!("    {} {}: {}", fault.code.number(), fault.path, fault.expected)
}

#[gtest]
fn entry() {
    let operator = json!({"name": "academy-ops", "digest": "ab".repeat(32)});
    let cases = [
        ("/node", json!("entry 1")),
        ("/zone", json!("")),
        ("/listen", json!("8080")),
        ("/operators", json!("127.0.0.1:8080")),
        ("/control", json!("0.0.0.0:7100")),
        ("/platform/table", json!("10.30.0.5:7001")),
        ("/platform/objects", json!("http://10.30.0.5:7002/")),
        ("/platform/timeout_ms", json!(0)),
        ("/operator_keys", json!([])),
        ("/operator_keys/1", operator),
        ("/operator_keys/1/digest", json!("secret")),
        ("/workers", json!(0)),
        ("/silence_ms", json!("2s")),
        ("/silence", json!(2)),
        ("/silence_ms", json!(5)),
        ("/max_stale_ms", json!(600_000)),
        ("/window_s", json!(0)),
        ("/statsd", json!("metrics.example:8125")),
    ];
    let told = report(ENTRY, settings::EntrySettings::check, &cases);
    insta::assert_snapshot!(told);
}

#[gtest]
fn agent() {
    let cases = [
        ("/backend", json!("scenario/1")),
        ("/pool", json!(null)),
        ("/engine", json!("https://127.0.0.1:9000")),
        ("/engine", json!("http://")),
        ("/checks_fence", json!("no")),
        ("/listen", json!("0.0.0.0:7200")),
        ("/listen", json!("10.30.1.20:7100")),
        ("/platform/usage", json!("")),
        ("/slots", json!(0)),
        ("/queue", json!(0)),
        ("/heartbeat_ms", json!(0)),
        ("/keep_ms", json!(400)),
        ("/keep_s", json!(60)),
        ("/window_s", json!(90_000)),
    ];
    let told = report(AGENT, settings::AgentSettings::check, &cases);
    insta::assert_snapshot!(told);
}

#[gtest]
fn text_that_is_no_document() {
    let texts = ["", "{", "[]", "{} {}", "nonsense"];
    let told = texts.map(|text| match settings::from_text::<intent::Intent>(text) {
        Ok(_) => format!("{text}: taken"),
        Err(error) => format!("{text}: {error}"),
    });
    let told = told.join("\n");
    insta::assert_snapshot!(told);
}

#[gtest]
fn documents_of_one_deployment() {
    let entry: settings::EntrySettings = settings::from_text(ENTRY).unwrap();
    let agent: settings::AgentSettings = settings::from_text(AGENT).unwrap();
    let mut deployment = settings::Deployment {
        entries: vec![("entry.json".to_owned(), entry)],
        agents: vec![("agent.json".to_owned(), agent)],
        intent: Some(("intent.json".to_owned(), settings::from_text(INTENT).unwrap())),
    };
    expect_that!(deployment.check(), is_empty());

    let (_, entry) = &mut deployment.entries[0];
    entry.silence /= 4;
    entry.window /= 2;
    entry.zone = "praha-z".to_owned();
    let (_, agent) = &mut deployment.agents[0];
    agent.node = entry.node.clone();
    agent.pool = "scenario-lm".to_owned();
    let mut second = agent.clone();
    second.pool = "scenario-llm".to_owned();
    second.slots += 1;
    second.model = false;
    deployment.agents.push(("second.json".to_owned(), second));
    let faults: Vec<_> = deployment.check().iter().map(line).collect();
    let told = faults.join("\n");
    insta::assert_snapshot!(told);
}
