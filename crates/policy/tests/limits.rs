//! Team limits across several entries, and the cost estimate.

use std::time::Duration;

use azuregap_core::code;
use azuregap_core::intent;
use azuregap_policy::cost;
use azuregap_policy::limits;
use googletest::prelude::*;
use tokio::time;

fn team(rate: Option<u32>, concurrency: Option<u32>) -> intent::Team {
    intent::Team { name: "large".to_owned(), weight: 1, rate, concurrency }
}

/// Limiters of entries that have run for long.
fn limiters(count: u32, team: &intent::Team) -> Vec<limits::TeamLimiter> {
    limiters_since(time::Instant::now() - Duration::from_secs(60), count, team)
}

fn limiters_since(
    started: time::Instant,
    count: u32,
    team: &intent::Team,
) -> Vec<limits::TeamLimiter> {
    let mut limiter = limits::TeamLimiter::new(started);
    limiter.set_entries(count);
    limiter.set_teams([team]);
    vec![limiter; count as usize]
}

/// Requests admitted within `seconds` if each entry is offered far more than the limit.
fn admitted(count: u32, rate: u32, seconds: u64) -> u64 {
    let mut limiters = limiters(count, &team(Some(rate), None));
    let start = time::Instant::now();
    let mut total = 0;
    for tick in 0..seconds * 1000 {
        let now = start + Duration::from_millis(tick);
        let passed = limiters.iter_mut().filter_map(|limiter| limiter.admit("large", now).ok());
        total += passed.count() as u64;
    }
    total
}

#[gtest]
fn rate_across_entries_stays_within_the_documented_bound() {
    for (count, rate) in [(1, 10), (2, 10), (3, 50), (3, 7), (8, 100)] {
        let seconds = 20;
        let max = f64::from(rate) * (1.0 + f64::from(count) / 10.0);
        let max = max * (seconds + 1) as f64 + f64::from(count);
        let total = admitted(count, rate, seconds);
        verify_that!(total as f64, le(max)).and_log_failure();
        verify_that!(total, ge(u64::from(rate) * seconds)).and_log_failure();
    }
}

#[gtest]
fn concurrency_across_entries_stays_within_the_documented_bound() {
    let (count, limit) = (3, 10_u32);
    let mut limiters = limiters(count, &team(None, Some(limit)));
    let now = time::Instant::now();
    let mut running = 0;
    for limiter in &mut limiters {
        running += (0..100).filter(|_| limiter.admit("large", now).is_ok()).count();
    }
    verify_that!(running, eq(15)).and_log_failure();
    limiters[0].release("large");
    verify_that!(limiters[0].admit("large", now), ok(anything())).and_log_failure();
}

#[gtest]
fn a_refusal_has_the_time_until_the_next_token() {
    let mut limiter = limiters(1, &team(Some(1), None)).remove(0);
    let now = time::Instant::now();
    verify_that!(limiter.admit("large", now), ok(anything())).and_log_failure();
    let refusal = limiter.admit("large", now).unwrap_err();
    verify_that!(refusal.code, eq(code::Code::TeamLimit)).and_log_failure();
    verify_that!(refusal.retry_after, some(eq(Duration::from_secs(1)))).and_log_failure();
    let later = now + Duration::from_secs(1);
    verify_that!(limiter.admit("large", later), ok(anything())).and_log_failure();
    verify_that!(limiter.admit("other", now), ok(anything())).and_log_failure();
}

#[gtest]
fn the_cost_estimate_tracks_the_output_length_of_a_class() {
    let mut estimator = cost::Estimator::new();
    let mut costs = vec![estimator.cost("advisor", "chat", 400, None)];
    for _ in 0..64 {
        estimator.observe("advisor", "chat", 80);
        costs.push(estimator.cost("advisor", "chat", 400, None));
    }
    for _ in 0..64 {
        estimator.observe("advisor", "chat", 800);
    }
    costs.push(estimator.cost("advisor", "chat", 400, None));
    costs.push(estimator.cost("advisor", "chat", 400, Some(50)));
    verify_that!(costs[0], eq(356)).and_log_failure();
    verify_that!(costs[64], eq(180)).and_log_failure();
    verify_that!(costs[65], all![ge(870), le(900)]).and_log_failure();
    verify_that!(costs[66], eq(150)).and_log_failure();
}

/// One entry that restarts five times a second is offered far more than the limit for two seconds.
#[gtest]
fn restarts_of_an_entry_give_a_team_no_further_bursts() {
    let team = team(Some(10), None);
    let start = time::Instant::now();
    let (mut limiter, mut admitted) = (limiters(1, &team), 0);
    for tick in 0..2_000 {
        let now = start + Duration::from_millis(tick);
        if tick % 200 == 0 {
            limiter = limiters_since(now, 1, &team);
        }
        admitted += u32::from(limiter[0].admit("large", now).is_ok());
    }
    // The documented rate of 11 a second, and one second's worth in a burst.
    verify_that!(admitted, le(33)).and_log_failure();
}
