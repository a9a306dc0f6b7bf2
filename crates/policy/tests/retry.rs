//! The retry decision and its budget.

use std::collections;
use std::time::Duration;

use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_policy::retry;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner;
use tokio::time;

fn attempt(now: time::Instant, code: code::Code, not_run: bool) -> retry::Attempt {
    let refusal = refusal::Refusal { not_run, ..refusal::Refusal::not_run(code, "seen") };
    retry::Attempt::new(now + Duration::from_secs(10), refusal)
}

fn describe_decision(attempt: retry::Attempt, now: time::Instant) -> String {
    match retry::decide(now, attempt, &mut retry::Budget::new()) {
        retry::Decision::Retry { after } => format!("retry after {after:?}"),
        retry::Decision::GiveUp { refusal } => {
            let after = refusal.retry_after.map_or("never".to_owned(), |at| format!("{at:?}"));
            format!("give up: {}, retry after: {after}", refusal.code.number())
        }
    }
}

#[gtest]
fn decision_for_each_kind_of_failure() {
    let now = time::Instant::now();
    let full = |not_run| attempt(now, code::Code::QueueFull, not_run);
    let failed = |idempotent| attempt(now, code::Code::BackendFailed, false).idempotent(idempotent);
    let near_deadline = |mut attempt: retry::Attempt| {
        attempt.deadline = now + Duration::from_millis(50);
        attempt
    };
    let cases = [
        ("refused, not run", full(true)),
        ("third attempt", full(true).count(3)),
        ("deadline near", near_deadline(full(true))),
        ("failed, idempotent", failed(true)),
        ("failed, not idempotent", failed(false)),
        ("bad body", attempt(now, code::Code::BodyInvalid, true)),
        ("deadline passed", attempt(now, code::Code::DeadlinePassed, true)),
    ];
    let decisions: collections::BTreeMap<_, _> =
        cases.into_iter().map(|(name, attempt)| (name, describe_decision(attempt, now))).collect();
    insta::assert_json_snapshot!(decisions);
}

#[gtest]
fn a_request_that_may_have_run_is_not_retried_unless_idempotent() {
    let config =
        test_runner::Config { cases: 500, failure_persistence: None, ..Default::default() };
    let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let now = time::Instant::now();
    let cases = (prop::sample::select(code::Code::ALL), any::<bool>(), any::<bool>(), 1..6u32);
    let outcome = runner.run(&cases, |(code, not_run, idempotent, count)| {
        let attempt = attempt(now, code, not_run).idempotent(idempotent).count(count);
        match retry::decide(now, attempt, &mut retry::Budget::new()) {
            retry::Decision::Retry { .. } => prop_assert!(not_run || idempotent),
            retry::Decision::GiveUp { refusal } => {
                prop_assert_eq!(refusal.not_run, not_run);
                prop_assert!(refusal.retry_after.is_none() || not_run || idempotent);
            }
        }
        Ok(())
    });
    verify_that!(outcome, ok(anything())).and_log_failure();
}

#[gtest]
fn retries_stay_within_a_tenth_of_successes_in_a_brownout() {
    let now = time::Instant::now();
    let mut budget = retry::Budget::new();
    let mut retries = 0;
    for request in 0..1000 {
        if request % 2 == 0 {
            budget.record_success();
            continue;
        }
        let attempt = attempt(now, code::Code::QueueFull, true);
        let decision = retry::decide(now, attempt, &mut budget);
        retries += u32::from(matches!(decision, retry::Decision::Retry { .. }));
    }
    verify_that!(retries, le(60)).and_log_failure();
    verify_that!(retries, ge(50)).and_log_failure();
}

#[gtest]
fn a_team_cannot_use_up_the_retries_of_another() {
    let now = time::Instant::now();
    let mut budgets = retry::TeamBudgets::new();
    let mut is_retried = |team: &str| {
        let attempt = attempt(now, code::Code::QueueFull, true);
        matches!(retry::decide(now, attempt, budgets.team(team)), retry::Decision::Retry { .. })
    };
    let drained = (0..100).filter(|_| is_retried("large")).count();
    verify_that!(drained, eq(4)).and_log_failure();
    verify_that!(is_retried("small"), eq(true)).and_log_failure();
}
