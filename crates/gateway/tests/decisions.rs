//! The decision logic of a gateway, on tables of inputs and on simulated load.

use azuregap_gateway::codec;
use azuregap_gateway::decision::failure;
use azuregap_gateway::decision::freshness;
use azuregap_gateway::decision::health;
use azuregap_gateway::decision::idle_limit;
use azuregap_gateway::decision::median_clock;
use azuregap_gateway::decision::membership;
use azuregap_gateway::decision::prefill_speed;
use azuregap_gateway::decision::prefix_cache;
use azuregap_gateway::decision::priority;
use azuregap_gateway::decision::retry_budget;
use azuregap_gateway::decision::usage_counts;
use googletest::prelude::*;
use std::time::Duration;
use tokio::time;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[gtest]
fn keys_are_trusted_only_while_the_configuration_is_fresh() {
    let start = time::Instant::now();
    let mut freshness = freshness::Freshness::new(Duration::from_secs(5));
    expect_that!(freshness.may_trust_keys(start), eq(false));
    freshness.record_confirmation(start);
    // An older confirmation that arrives late is ignored.
    freshness.record_confirmation(start - Duration::from_secs(1));
    let table = [(0, true, true), (2_700, true, true), (2_900, true, false), (4_600, false, false)];
    for (age, trusts, denies) in table {
        let now = start + millis(age);
        expect_that!(freshness.may_trust_keys(now), eq(trusts), "{age}");
        expect_that!(freshness.may_deny(now), eq(denies), "{age}");
    }
}

#[gtest]
fn only_requests_that_were_not_executed_are_answered_with_503() {
    let failures = [
        failure::Failure::NotExecuted,
        failure::Failure::OutcomeUnknown,
        failure::Failure::TimedOut,
    ];
    expect_that!(failures.map(failure::Failure::status), eq([503, 502, 504]));
}

#[gtest]
fn retry_delays_are_jittered_and_limited_by_the_time_left() {
    let capacity_in = millis(400);
    let delays: Vec<_> = (0..10)
        .map(|n| failure::retry_after(capacity_in, Duration::from_secs(6), f64::from(n) / 10.0))
        .collect();
    expect_that!(delays, each(all![ge(&millis(300)), le(&millis(500))]));
    expect_that!(delays.first(), not(eq(delays.last())));
    expect_that!(failure::retry_after(capacity_in, millis(600), 0.5), eq(millis(200)));
    expect_that!(failure::retry_after(capacity_in, Duration::ZERO, 0.5), eq(millis(50)));
}

/// A fleet in which all gateways know each other.
const fn fleet(gateways: usize) -> retry_budget::Fleet {
    retry_budget::Fleet { gateways, standing: membership::Standing::Counted }
}

#[gtest]
fn all_gateways_together_stay_within_the_retry_budget() {
    let start = time::Instant::now();
    let limits = retry_budget::Limits { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
    let gateways = 4;
    let mut granted = 0;
    for _ in 0..gateways {
        let mut budget = retry_budget::RetryBudget::new(limits);
        for request in 0..1_000_u32 {
            let now = start + millis(9) * request;
            budget.record_request("s", now);
            if let Some(grant) = budget.try_acquire("s", fleet(gateways), now) {
                budget.release(grant, now);
                granted += 1;
            }
        }
    }
    expect_that!(f64::from(granted), le(0.2 * 4_000.0 + 52.0));
    expect_that!(f64::from(granted), ge(0.5 * (0.2 * 4_000.0 + 52.0)));
}

#[gtest]
fn retries_are_granted_again_after_the_window() {
    let start = time::Instant::now();
    let limits = retry_budget::Limits { ratio: 0.0, slack: 2.0, window: Duration::from_secs(10) };
    let mut budget = retry_budget::RetryBudget::new(limits);
    let grant = budget.try_acquire("s", fleet(1), start);
    expect_that!(grant, some(anything()));
    expect_that!(budget.try_acquire("s", fleet(1), start), none());
    expect_that!(budget.try_acquire("other", fleet(1), start), some(anything()));
    grant.into_iter().for_each(|grant| budget.release(grant, start));
    expect_that!(budget.try_acquire("s", fleet(1), start + millis(9_900)), none());
    let later = start + Duration::from_secs(11);
    expect_that!(budget.try_acquire("s", fleet(1), later), some(anything()));
}

#[gtest]
fn an_unreachable_backend_is_unavailable_during_its_backoff() {
    let start = time::Instant::now();
    let mut health = health::Health::new();
    health.observe(health::Outcome::Unreachable, start);
    expect_that!(health.is_available(start + millis(200)), eq(false));
    expect_that!(health.is_available(start + millis(400)), eq(true));
    for _ in 0..9 {
        health.observe(health::Outcome::Unreachable, start);
    }
    expect_that!(health.is_available(start + millis(2_900)), eq(false));
    expect_that!(health.is_available(start + millis(3_100)), eq(true));
    health.observe(health::Outcome::Success, start);
    expect_that!(health.is_available(start), eq(true));
}

#[gtest]
fn a_failure_rate_raises_the_cost_until_it_decays() {
    let start = time::Instant::now();
    let mut health = health::Health::new();
    for request in 0..40 {
        let fails = request % 5 < 2;
        let outcome = if fails { health::Outcome::Failure } else { health::Outcome::Success };
        health.observe(outcome, start);
    }
    expect_that!(health.cost_factor(start), ge(3.0));
    expect_that!(health.cost_factor(start + Duration::from_secs(40)), le(1.1));
}

#[gtest]
fn a_single_wrong_clock_does_not_shift_the_time() {
    let start = time::Instant::now();
    let hour = Duration::from_secs(3_600);
    let mut clock = median_clock::MedianClock::new(start, hour);
    for step in 0..100_u32 {
        let now = start + millis(200) * step;
        let truth = hour + millis(200) * step;
        let others = [truth + millis(3), truth - millis(2)];
        clock.adjust(now, truth + Duration::from_secs(7), others);
        let error = clock.time_at(now).abs_diff(truth);
        expect_that!(error, le(millis(10)));
    }
}

#[gtest]
fn a_clock_that_was_wrong_at_the_start_is_corrected_by_the_others() {
    let start = time::Instant::now();
    let truth = Duration::from_secs(3_600);
    let mut clock = median_clock::MedianClock::new(start, truth + Duration::from_secs(5));
    for step in 0..20 {
        // The local estimate and the local clock agree on a wrong time; three other gateways have
        // the right one.
        clock.adjust(start, truth + Duration::from_secs(5), [truth; 3]);
        if step > 0 {
            expect_that!(clock.time_at(start), eq(truth));
        }
    }
}

#[gtest]
fn counts_are_kept_by_window_and_merging_a_copy_again_changes_nothing() {
    let mut counts = usage_counts::UsageCounts::new();
    let team = usage_counts::team_hash("t");
    for window in [10, 10, 11] {
        counts.increment(window, team);
    }
    let sent: Vec<_> = counts.newest(4).collect();
    let mut copy = usage_counts::UsageCounts::new();
    copy.merge(sent.clone());
    copy.merge(sent);
    expect_that!(copy, eq(&counts));
    counts.increment(17, team);
    expect_that!(
        counts.newest(9).map(|(window, ..)| window).collect::<Vec<_>>(),
        elements_are![eq(&17)]
    );
}

fn tiers(list: &[u8]) -> priority::Tiers {
    list.iter().copied().collect()
}

/// Ranks of each team tier on each route tier, each as the rank on time and the rank when late.
fn all_ranks(teams: &[u8], routes: &[u8]) -> Vec<priority::Rank> {
    let pairs = teams.iter().flat_map(|team| routes.iter().map(move |route| (*team, *route)));
    let ranks =
        pairs.map(|(team, route)| priority::ranks(&tiers(teams), team, &tiers(routes), route));
    ranks.flat_map(|ranks| [ranks.on_time, ranks.late]).collect()
}

#[gtest]
fn ranks_follow_the_team_tier_then_the_route_tier_and_late_requests_come_last_in_their_tier() {
    let table: [(&[u8], &[u8], &[u8]); 4] = [
        (&[0], &[0, 1], &[0, 1, 2, 3]),
        (&[0, 1], &[0, 3], &[0, 1, 2, 3, 4, 5, 6, 7]),
        (&[1, 7], &[2], &[0, 1, 2, 3]),
        (
            &[0, 1, 2],
            &[0, 1, 2, 3],
            &[0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6, 7, 7, 8, 8, 9, 9, 9, 9, 9, 9],
        ),
    ];
    for (teams, routes, expected) in table {
        expect_that!(all_ranks(teams, routes), eq(&expected.to_vec()), "{teams:?} {routes:?}");
    }
}

proptest::proptest! {
    #[test]
    fn no_request_ranks_behind_one_of_a_lower_tier(
        teams in proptest::collection::btree_set(0_u8..20, 1..5),
        routes in proptest::collection::btree_set(0_u8..20, 1..5),
    ) {
        let list = |set: std::collections::BTreeSet<u8>| set.into_iter().collect::<Vec<_>>();
        let ranks = all_ranks(&list(teams), &list(routes));
        proptest::prop_assert!(ranks.is_sorted(), "{ranks:?}");
    }
}

#[gtest]
fn a_prompt_is_cached_up_to_its_first_uncached_segment() {
    let start = time::Instant::now();
    let segments = |ids: &[u64]| -> codec::Segments {
        ids.iter().map(|id| codec::Segment { id: *id, tokens: 100 }).collect()
    };
    let mut cache = prefix_cache::PrefixCache::new();
    cache.insert(&segments(&[1, 2, 3]), start);
    expect_that!(cache.cached_tokens(&segments(&[1, 2, 9, 3]), start), eq(200));
    expect_that!(cache.cached_tokens(&segments(&[9, 1]), start), eq(0));
    expect_that!(cache.cached_tokens(&segments(&[1]), start + Duration::from_secs(60)), eq(0));
}

#[gtest]
fn the_prefill_time_follows_the_observed_speed() {
    let mut speed = prefill_speed::PrefillSpeed::default();
    let first = speed.prefill_time(10_000);
    for _ in 0..200 {
        speed.observe(10_000, millis(1_000));
    }
    expect_that!(speed.prefill_time(10_000), gt(first));
    expect_that!(speed.prefill_time(10_000), all![ge(millis(950)), le(millis(1_050))]);
    // Samples with little work are ignored.
    speed.observe(10, millis(1_000));
    expect_that!(speed.prefill_time(10_000), le(millis(1_050)));
}

#[gtest]
fn bounds_of_reloaded_settings_are_applied() {
    let start = time::Instant::now();
    let mut freshness = freshness::Freshness::new(Duration::from_secs(5));
    freshness.record_confirmation(start);
    let now = start + Duration::from_secs(4);
    expect_that!(freshness.may_trust_keys(now), eq(true));
    expect_that!(freshness.set_bound(Duration::from_secs(5)), eq(false));
    expect_that!(freshness.set_bound(Duration::from_secs(3)), eq(true));
    expect_that!(freshness.may_trust_keys(now), eq(false));
    let limits = retry_budget::Limits { ratio: 0.0, slack: 2.0, window: Duration::from_secs(10) };
    let mut budget = retry_budget::RetryBudget::new(limits);
    expect_that!(budget.set_limits(limits), eq(false));
    expect_that!(budget.set_limits(retry_budget::Limits { slack: 0.0, ..limits }), eq(true));
    expect_that!(budget.try_acquire("s", fleet(1), start), none());
}

#[gtest]
fn idle_connections_are_avoided_after_a_loss_and_longer_if_losses_recur() {
    let start = time::Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let idle = Duration::from_millis(300);
    let mut limit = idle_limit::IdleLimit::new();
    expect_that!(limit.record_loss(idle_limit::SAFE_IDLE, at(0)), eq(false));
    expect_that!(limit.max_idle(at(0)), eq(Duration::MAX));
    // (second of the loss, first second at which idle connections are used again)
    for (loss, again) in [(1, 11), (12, 32), (33, 73), (74, 134), (400, 410)] {
        expect_that!(limit.max_idle(at(loss)), eq(Duration::MAX), "{loss}");
        expect_that!(limit.record_loss(idle, at(loss)), eq(true), "{loss}");
        expect_that!(limit.record_loss(idle, at(loss)), eq(false), "{loss}");
        expect_that!(limit.max_idle(at(again - 1)), eq(idle_limit::SAFE_IDLE), "{loss}");
        expect_that!(limit.max_idle(at(again)), eq(Duration::MAX), "{loss}");
    }
}
