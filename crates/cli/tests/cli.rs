//! The command line against a small fake entry: what it sends, prints and answers.

mod support;

use azuregap_core::key;
use googletest::prelude::*;
use serde_json::Value;

/// Runs a command against a fake entry and tells its exit code, calls and output.
fn told(args: &[&str]) -> String {
    let fake = support::Fake::start();
    let mut args = args.to_vec();
    args.extend(["--entry", &fake.url]);
    let said = support::run(&args);
    let calls: Vec<_> = fake.got().into_iter().map(|got| got.call).collect();
    let (out, err) = (said.out.replace(&fake.url, "URL"), said.err.replace(&fake.url, "URL"));
    format!("exit {:?}\ncalls {calls:?}\n--- out\n{out}--- err\n{err}", said.exit.unwrap())
}

#[gtest]
fn check_takes_the_shipped_examples() {
    for deployment in ["swan-coastal", "academy"] {
        let folder = format!("{}/../../examples/{deployment}", env!("CARGO_MANIFEST_DIR"));
        let files = std::fs::read_dir(folder).unwrap();
        let files: Vec<_> = files.map(|file| file.unwrap().path().display().to_string()).collect();
        let mut args = vec!["check"];
        args.extend(files.iter().map(String::as_str));
        let said = support::run(&args);
        expect_that!(said.exit, some(eq(0)), "{}", said.out);
        expect_that!(said.out.lines().count(), eq(files.len()));
    }
}

#[gtest]
fn check_names_the_faults_of_each_file_and_of_all_together() {
    let folder = tempfile("check");
    let entry = "examples/academy/entry-praha-a.json";
    let text = std::fs::read_to_string(format!("../../{entry}")).unwrap();
    let zone = write(&folder, "zone.json", &text.replace("praha-a", "praha-z"));
    let unit = write(&folder, "unit.json", &text.replace("silence_ms", "silence_s"));
    let kind = write(&folder, "kind.json", "{\"name\": 1}");
    let json = write(&folder, "json.json", "{");
    let missing = format!("{folder}/missing.json");
    let args = [
        "check",
        entry,
        "examples/academy/intent.json",
        "examples/swan-coastal/intent.json",
        &zone,
        &unit,
        &kind,
        &json,
        &missing,
    ];
    let said = support::run(&args);
    expect_that!(said.exit, some(eq(1)));
    insta::assert_snapshot!("check_faults", said.out.replace(&folder, "DIR"));

    let said = support::run(&["check", "--json", &unit]);
    expect_that!(said.exit, some(eq(1)));
    insta::assert_snapshot!("check_faults_json", said.out.replace(&folder, "DIR"));
}

#[gtest]
fn plan_shows_steps_and_cost_before_anything_changes() {
    insta::assert_snapshot!(told(&["plan", "examples/swan-coastal/intent.json"]));
}

#[gtest]
fn plan_sends_the_whole_intent_and_nothing_if_it_is_faulty() {
    let fake = support::Fake::start();
    let file = "examples/swan-coastal/intent.json";
    let said = support::run(&["plan", file, "--json", "--entry", &fake.url]);
    expect_that!(said.exit, some(eq(0)));
    let plan: Value = serde_json::from_str(&said.out).unwrap();
    expect_that!(plan["id"].as_str(), some(eq("p-7")));
    let text = std::fs::read_to_string(format!("../../{file}")).unwrap();
    let sent: azuregap_core::intent::Intent =
        serde_json::from_value(fake.got()[0].body.clone()).unwrap();
    expect_true!(sent == serde_json::from_str(&text).unwrap());

    let folder = tempfile("plan");
    let faulty = write(&folder, "intent.json", &text.replace("\"weight\": 4", "\"weight\": 0"));
    let said = support::run(&["plan", &faulty, "--entry", &fake.url]);
    expect_that!(said.exit, some(eq(1)));
    expect_that!(said.out, contains_substring("teams[0].weight"));
    expect_that!(fake.got().len(), eq(1));
}

#[gtest]
fn confirm_and_what_can_be_said_against_it() {
    insta::assert_snapshot!("confirm", told(&["confirm", "p-7"]));
    insta::assert_snapshot!("confirm_conflict", told(&["confirm", "p-9"]));
    insta::assert_snapshot!("confirm_expired", told(&["confirm", "p-8"]));
    insta::assert_snapshot!("confirm_expired_json", told(&["confirm", "p-8", "--json"]));
}

#[gtest]
fn what_an_entry_tells() {
    insta::assert_snapshot!("plans", told(&["plans"]));
    insta::assert_snapshot!("plans_one", told(&["plans", "p-7"]));
    insta::assert_snapshot!("intent", told(&["intent"]));
    insta::assert_snapshot!("status", told(&["status"]));
    insta::assert_snapshot!("usage", told(&["usage"]));
    insta::assert_snapshot!("usage_window", told(&["usage", "41"]));
    insta::assert_snapshot!("keys_list", told(&["keys", "list"]));
    insta::assert_snapshot!("keys_withdraw", told(&["keys", "withdraw", &"ab".repeat(32)]));
}

#[gtest]
fn a_given_key_is_new_and_only_its_digest_is_sent() {
    let fake = support::Fake::start();
    let args = ["keys", "give", "kelp-robotics", "--json", "--entry", &fake.url];
    let answers: Vec<Value> =
        (0..2).map(|_| serde_json::from_str(&support::run(&args).out).unwrap()).collect();
    expect_that!(answers[0]["key"], not(eq(&answers[1]["key"])));
    for (answer, got) in answers.iter().zip(fake.got()) {
        let key = answer["key"].as_str().unwrap();
        expect_that!(got.body["digest"], eq(&serde_json::json!(key::Digest::of(key))));
        expect_that!(got.body.to_string(), not(contains_substring(key)));
        expect_that!(got.body["team"].as_str(), some(eq("kelp-robotics")));
    }
}

#[gtest]
fn a_key_whose_giving_is_unsettled_is_given_again_with_the_same_digest() {
    let fake = support::Fake::start();
    let said = support::run(&["keys", "give", "unsure", "--json", "--entry", &fake.url]);
    expect_that!(said.exit, some(eq(0)));
    let got = fake.got();
    expect_that!(got, len(eq(2)));
    expect_that!(got[0], eq(&got[1]));
}

#[gtest]
fn exit_codes_tell_usage_from_silence() {
    let no_key = support::run_with(&["status"], &[]);
    expect_that!(no_key.exit, some(eq(2)));
    expect_that!(no_key.err, contains_substring("AZUREGAP_OPERATOR_KEY"));
    expect_that!(support::run(&["plan"]).exit, some(eq(2)));
    expect_that!(support::run(&["keys", "withdraw", "abc"]).exit, some(eq(2)));
    let agent = "examples/academy/agent-scenario-1.json";
    expect_that!(support::run(&["plan", agent]).exit, some(eq(2)));
    let silent = support::run(&["status", "--entry", "http://127.0.0.1:1"]);
    expect_that!(silent.exit, some(eq(3)));
    let fake = support::Fake::start();
    let denied = support::run_with(
        &["status", "--entry", &fake.url],
        &[("AZUREGAP_OPERATOR_KEY", "another")],
    );
    expect_that!(denied.exit, some(eq(1)));
    expect_that!(denied.err, contains_substring("4007"));
}

#[gtest]
fn load_counts_every_fate_by_class() {
    let fake = support::Fake::start();
    let mix = "whole=2,cut=1,failed=1,full=1,/notes=1";
    let args = ["load", "--json", "--url", &fake.url, "--mix", mix, "--rate", "200"];
    let said = support::run(&[&args[..], &["--duration", "500ms", "--seed", "7"]].concat());
    expect_that!(said.exit, some(eq(1)));
    let report: Value = serde_json::from_str(&said.out).unwrap();
    let sent: u64 = report["requests"].as_array().unwrap().iter().map(|r| count(r, "sent")).sum();
    expect_that!(sent, eq(fake.got().len() as u64));
    let counts: Vec<_> =
        report["requests"].as_array().unwrap().iter().map(Value::to_string).collect();
    insta::assert_snapshot!(counts.join("\n"));
    let times = report["times"].as_array().unwrap();
    let told: Vec<_> =
        times.iter().map(|row| format!("{} {}", row["class"], row["time in ms"])).collect();
    insta::assert_snapshot!("load_times", told.join("\n"));
}

#[gtest]
fn load_is_bounded() {
    for wrong in
        [["--rate", "5001"], ["--duration", "11m"], ["--duration", "0s"], ["--mix", "chat=0"]]
    {
        expect_that!(support::run(&["load", wrong[0], wrong[1]]).exit, some(eq(2)), "{wrong:?}");
    }
}

#[gtest]
fn help_lists_every_command() {
    insta::assert_snapshot!(support::run(&["--help"]).out);
}

/// What was asked and how it ended, without times.
fn shown(deployment: &str) -> (Option<i32>, String) {
    let said = support::run_with(&["demo", "--json", "--deployment", deployment], &[]);
    let report: Value = serde_json::from_str(&said.out)
        .unwrap_or_else(|error| panic!("{error}\n{}\n{}", said.out, said.err));
    let rows = report["requests"].as_array().unwrap();
    let lines = rows
        .iter()
        .map(|row| format!("{} {} as first: {}", row["status"], row["request"], row["as first"]));
    (said.exit, lines.collect::<Vec<_>>().join("\n"))
}

#[gtest]
fn demo_serves_every_class_of_swan_coastal() {
    let (exit, lines) = shown("swan-coastal");
    expect_that!(exit, some(eq(0)));
    insta::assert_snapshot!(lines);
}

#[gtest]
fn demo_serves_every_class_of_the_academy() {
    let (exit, lines) = shown("academy");
    expect_that!(exit, some(eq(0)));
    insta::assert_snapshot!(lines);
}

fn count(row: &Value, name: &str) -> u64 {
    row[name].as_u64().unwrap()
}

/// An empty folder of this test.
fn tempfile(name: &str) -> String {
    let folder = format!("{}/cli-{name}", env!("CARGO_TARGET_TMPDIR"));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn write(folder: &str, name: &str, text: &str) -> String {
    let path = format!("{folder}/{name}");
    std::fs::write(&path, text).unwrap();
    path
}
