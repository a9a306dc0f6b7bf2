//! Applies changes to valid settings and checks the reported faults.

use azuregap_core::intent;
use azuregap_core::settings;
use googletest::prelude::*;
use serde::de;
use serde_json::Value;
use serde_json::json;

const ENTRY: &str = include_str!("../../../examples/academy/entry-praha-a.json");
const AGENT: &str = include_str!("../../../examples/academy/agent-scenario-1.json");
const INTENT: &str = include_str!("../../../examples/academy/intent.json");

/// JSON pointer into the valid document and the new value.
type Change = (&'static str, Value);

fn changed<T: de::DeserializeOwned>(
    valid: &str,
    (pointer, value): &Change,
) -> std::result::Result<T, settings::LoadError> {
    let mut document: Value = serde_json::from_str(valid).unwrap();
    match document.pointer_mut(pointer) {
        Some(target) => *target = value.clone(),
        None => document[&pointer[1..]] = value.clone(),
    }
    settings::from_text(&document.to_string())
}

/// Lists every case with the faults it causes, one per line.
fn report<T: de::DeserializeOwned>(
    valid: &str,
    check: impl Fn(&T) -> Vec<intent::Fault>,
    cases: &[Change],
) -> String {
    let mut lines = Vec::new();
    for change in cases {
        lines.push(format!("{} = {}", change.0, change.1));
        match changed(valid, change) {
            Ok(settings) => {
                let faults = check(&settings);
                assert!(!faults.is_empty(), "{change:?} was accepted");
                lines.extend(faults.iter().map(fault_line));
            }
            Err(error) => lines.push(format!("    {error}")),
        }
    }
    lines.join("\n")
}

fn fault_line(fault: &intent::Fault) -> String {
    format!("    {} {}: {}", fault.code.number(), fault.path, fault.expected)
}

#[gtest]
fn invalid_entry_settings_are_reported() {
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
    let report = report(ENTRY, settings::EntrySettings::check, &cases);
    insta::assert_snapshot!(report);
}

#[gtest]
fn invalid_agent_settings_are_reported() {
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
    let report = report(AGENT, settings::AgentSettings::check, &cases);
    insta::assert_snapshot!(report);
}

#[gtest]
fn invalid_json_is_reported() {
    let texts = ["", "{", "[]", "{} {}", "nonsense"];
    let lines = texts.map(|text| match settings::from_text::<intent::Intent>(text) {
        Ok(_) => format!("{text}: accepted"),
        Err(error) => format!("{text}: {error}"),
    });
    let report = lines.join("\n");
    insta::assert_snapshot!(report);
}

#[gtest]
fn contradictions_between_documents_are_reported() {
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
    let lines: Vec<_> = deployment.check().iter().map(fault_line).collect();
    let report = lines.join("\n");
    insta::assert_snapshot!(report);
}
