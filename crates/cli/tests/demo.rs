//! The demo shows one request of each class end to end, and a call that runs once.

mod support;

use googletest::prelude::*;
use serde_json::Value;

/// What was asked and how it ended, without times.
fn shown(deployment: &str) -> (Option<i32>, String, Value) {
    let said = support::run_with(&["demo", "--json", "--deployment", deployment], &[]);
    let report: Value = serde_json::from_str(&said.out)
        .unwrap_or_else(|error| panic!("{error}\n{}\n{}", said.out, said.err));
    let rows = report["requests"].as_array().unwrap();
    let lines = rows.iter().map(|row| format!("{} {}", row["status"], row["request"]));
    (said.exit, lines.collect::<Vec<_>>().join("\n"), report)
}

#[gtest]
fn swan_coastal_serves_every_class() {
    let (exit, lines, _) = shown("swan-coastal");
    expect_that!(exit, some(eq(0)));
    insta::assert_snapshot!(lines);
}

#[gtest]
fn academy_serves_every_class() {
    let (exit, lines, _) = shown("academy");
    expect_that!(exit, some(eq(0)));
    insta::assert_snapshot!(lines);
}
