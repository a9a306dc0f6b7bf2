//! What the retry budget grants to the callers of one gateway.

mod support;

use std::time::Duration;

use azuregap_gateway::decision::membership;
use azuregap_gateway::decision::retry_budget;
use googletest::prelude::*;
use tokio::time;

const WINDOW: Duration = Duration::from_secs(10);

const fn fleet(standing: membership::Standing) -> retry_budget::Fleet {
    retry_budget::Fleet { gateways: 4, standing }
}

const COUNTED: retry_budget::Fleet = fleet(membership::Standing::Counted);

fn budget(slack: f64) -> retry_budget::RetryBudget {
    retry_budget::RetryBudget::new(retry_budget::Limits { ratio: 0.2, slack, window: WINDOW })
}

/// Requests at a steady rate for a time, each of which wants a retry if `fails`; returns how many
/// were granted.
fn serve(
    budget: &mut retry_budget::RetryBudget,
    start: time::Instant,
    (rate, length): (u32, Duration),
    fleet: retry_budget::Fleet,
    fails: bool,
) -> u32 {
    let mut granted = 0;
    for request in 0..rate * length.as_secs() as u32 {
        let now = start + Duration::from_secs(1) * request / rate;
        budget.record_request("s", now);
        if fails && let Some(grant) = budget.try_acquire("s", fleet, now) {
            budget.release(grant, now);
            granted += 1;
        }
    }
    granted
}

#[gtest]
fn a_fleet_that_has_not_restarted_gets_the_budget_of_a_whole_window() {
    for (rate, slack) in [(1, 54.0), (5, 54.0), (15, 54.0), (15, 176.0), (100, 84.0)] {
        let start = time::Instant::now();
        let mut budget = budget(slack);
        serve(&mut budget, start, (rate, WINDOW * 2), COUNTED, false);
        let granted = serve(&mut budget, start + WINDOW * 2, (rate, WINDOW), COUNTED, true);
        let share = 0.2 * f64::from(rate * 10) + slack / 4.0;
        let wanted = f64::from(rate * 10);
        let case = format!("{rate} requests per second, allowance {slack}");
        expect_that!(f64::from(granted), ge((0.7 * share).floor().min(wanted)), "{case}");
        expect_that!(f64::from(granted), le(share), "{case}");
    }
}

#[gtest]
fn retries_go_on_while_a_service_fails_for_long() {
    let start = time::Instant::now();
    let mut budget = budget(54.0);
    serve(&mut budget, start, (15, WINDOW * 2), COUNTED, false);
    for second in 0..30 {
        let at = start + WINDOW * 2 + Duration::from_secs(second);
        let granted = serve(&mut budget, at, (15, Duration::from_secs(1)), COUNTED, true);
        expect_that!(granted, ge(1), "second {second}");
    }
}

#[gtest]
fn a_process_that_has_just_started_retries_half_of_what_its_requests_allow() {
    let start = time::Instant::now();
    let listed = fleet(membership::Standing::Listed);
    let mut budget = budget(54.0);
    let granted = serve(&mut budget, start, (15, Duration::from_secs(4)), listed, true);
    expect_that!(granted, eq(6));
    let mut unlisted = self::budget(54.0);
    let fleet = fleet(membership::Standing::Unlisted);
    expect_that!(serve(&mut unlisted, start, (15, WINDOW), fleet, true), eq(15));
}

#[gtest]
fn a_gateway_that_is_cut_off_keeps_the_retries_that_its_requests_allow() {
    let start = time::Instant::now();
    let mut budget = budget(54.0);
    serve(&mut budget, start, (15, WINDOW * 2), COUNTED, false);
    let unlisted = fleet(membership::Standing::Unlisted);
    let granted = serve(&mut budget, start + WINDOW * 2, (15, WINDOW), unlisted, true);
    // A fifth of the requests, in both windows.
    expect_that!(granted, all![ge(28), le(30)]);
}

#[gtest]
fn a_retry_counts_until_a_window_after_its_outcome_is_known() {
    let start = time::Instant::now();
    let limits = retry_budget::Limits { ratio: 0.0, slack: 8.0, window: WINDOW };
    let mut budget = retry_budget::RetryBudget::new(limits);
    let grant = budget.try_acquire("s", COUNTED, start);
    expect_that!(budget.try_acquire("s", COUNTED, start + WINDOW * 3), none());
    grant.into_iter().for_each(|grant| budget.release(grant, start + WINDOW * 3));
    expect_that!(budget.try_acquire("s", COUNTED, start + WINDOW * 4 / 10 * 9), none());
    expect_that!(budget.try_acquire("s", COUNTED, start + WINDOW * 4), some(anything()));
}
