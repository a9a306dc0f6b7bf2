//! The tables in `docs/OPERATING.md` list exactly the fields of the settings and the intent.

use googletest::prelude::*;
use serde_json::Value;

const PAGE: &str = include_str!("../../../docs/OPERATING.md");
const ENTRY: &str = include_str!("../../../examples/swan-coastal/entry-perth-north.json");
const AGENT: &str = include_str!("../../../examples/swan-coastal/agent-advisor-1.json");

/// Returns the names in a column of the table below `heading`.
fn documented(heading: &str, column: usize) -> Vec<String> {
    let (_, section) = PAGE.split_once(&format!("{heading}\n")).unwrap();
    let section = section.split("\n#").next().unwrap();
    let rows = section.lines().filter(|line| line.starts_with('|')).skip(2);
    let cells = rows.filter_map(|row| row.split('|').nth(column + 1));
    cells.map(|cell| cell.trim().trim_matches('`').to_owned()).collect()
}

/// Returns the field names of a JSON object.
fn fields(value: &Value) -> Vec<String> {
    value.as_object().unwrap().keys().cloned().collect()
}

fn settings<T: serde::de::DeserializeOwned + serde::Serialize>(text: &str) -> Value {
    let settings: T = azuregap_core::settings::from_text(text).unwrap();
    serde_json::to_value(settings).unwrap()
}

#[gtest]
fn settings_of_entry_and_agent_are_documented() {
    let entry = settings::<azuregap_core::settings::EntrySettings>(ENTRY);
    let agent = settings::<azuregap_core::settings::AgentSettings>(AGENT);
    expect_that!(documented("### Of an entry", 0), container_eq(fields(&entry)));
    expect_that!(documented("### Of an agent", 0), container_eq(fields(&agent)));
    expect_that!(documented("### Of the platform", 0), container_eq(fields(&entry["platform"])));
}

#[gtest]
fn fields_of_the_intent_are_documented() {
    let text = include_str!("../../../examples/swan-coastal/intent.json");
    let grant =
        format!(r#""keys": [{{"digest": "{}", "team": "kelp-robotics"}}]"#, "ab".repeat(32));
    let text = text.replace(r#""keys": []"#, &grant);
    let intent = settings::<azuregap_core::intent::Intent>(&text);
    let mut expected = Vec::new();
    for part in fields(&intent) {
        match intent[&part].get(0) {
            Some(item) => expected.extend(fields(item)),
            None => expected.push(String::new()),
        }
    }
    expect_that!(documented("## The intent", 1), container_eq(expected));
}
