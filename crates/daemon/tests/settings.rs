//! Validation of settings at start.

use std::fs;
use std::process;

use googletest::prelude::*;

const AGENT: &str = include_str!("../../../examples/swan-coastal/agent-advisor-1.json");

/// Starts an agent with the settings `text`; returns its exit code and its log.
fn start_agent(name: &str, text: &str) -> (Option<i32>, String) {
    let path = std::env::temp_dir().join(format!("azuregapd-{}-{name}.json", process::id()));
    fs::write(&path, text).unwrap();
    let mut daemon = process::Command::new(env!("CARGO_BIN_EXE_azuregapd"));
    let output = daemon.arg("agent").arg("--settings").arg(&path).output().unwrap();
    fs::remove_file(&path).unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

#[gtest]
fn invalid_settings_are_rejected_with_the_path_of_the_field() -> Result<()> {
    let cases = [
        ("slots", AGENT.replace("\"slots\": 32", "\"slots\": 0"), "5003: at 'slots'"),
        ("unknown", AGENT.replace("\"slots\"", "\"slotz\""), "5002: at"),
        ("text", "no JSON".to_owned(), "5002: at"),
    ];
    for (name, text, expected) in cases {
        let (code, log) = start_agent(name, &text);
        verify_that!(code, some(eq(2))).with_failure_message(|| name.to_owned())?;
        verify_that!(log, contains_substring(expected))?;
    }
    Ok(())
}
