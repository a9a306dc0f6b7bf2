//! The decisions of a gateway, on tables and on played loads.

use azuregap_gateway::codec;
use azuregap_gateway::decision::cache;
use azuregap_gateway::decision::freshness;
use azuregap_gateway::decision::pace;
use azuregap_gateway::decision::refusal;
use azuregap_gateway::decision::repeats;
use azuregap_gateway::decision::rest;
use azuregap_gateway::decision::standing;
use azuregap_gateway::decision::true_time;
use azuregap_gateway::decision::urgency;
use azuregap_gateway::decision::windows;
use googletest::prelude::*;
use std::time::Duration;
use tokio::time;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[gtest]
fn keys_are_trusted_only_while_the_store_confirms_them() {
    let start = time::Instant::now();
    let mut freshness = freshness::Freshness::new(Duration::from_secs(5));
    expect_that!(freshness.may_trust_keys(start), eq(false));
    freshness.confirmed(start);
    // An older confirmation that arrives late changes nothing.
    freshness.confirmed(start - Duration::from_secs(1));
    let table = [(0, true, true), (2_700, true, true), (2_900, true, false), (4_600, false, false)];
    for (age, trusts, denies) in table {
        let now = start + millis(age);
        expect_that!(freshness.may_trust_keys(now), eq(trusts), "{age}");
        expect_that!(freshness.may_deny(now), eq(denies), "{age}");
    }
}

#[gtest]
fn only_a_request_that_never_ran_is_answered_with_a_promise() {
    let statuses = [refusal::Fate::NotRun, refusal::Fate::Unknown, refusal::Fate::OutOfTime];
    expect_that!(statuses.map(refusal::Fate::status), eq([503, 502, 504]));
}

#[gtest]
fn callers_come_back_spread_and_in_time() {
    let room = millis(400);
    let times: Vec<_> = (0..10)
        .map(|n| refusal::retry_after(room, Duration::from_secs(6), f64::from(n) / 10.0))
        .collect();
    expect_that!(times, each(all![ge(&millis(300)), le(&millis(500))]));
    expect_that!(times.first(), not(eq(times.last())));
    expect_that!(refusal::retry_after(room, millis(600), 0.5), eq(millis(200)));
    expect_that!(refusal::retry_after(room, Duration::ZERO, 0.5), eq(millis(50)));
}

#[gtest]
fn all_gateways_together_stay_within_the_budget_of_repeats() {
    let start = time::Instant::now();
    let terms = repeats::Terms { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
    let gateways = 4;
    let mut granted = 0;
    for _ in 0..gateways {
        let mut repeats = repeats::Repeats::new(terms);
        for request in 0..1_000_u32 {
            let now = start + millis(9) * request;
            repeats.request("s", now);
            granted += u32::from(repeats.take("s", gateways, now));
        }
    }
    expect_that!(f64::from(granted), le(0.2 * 4_000.0 + 52.0));
    expect_that!(f64::from(granted), ge(0.5 * (0.2 * 4_000.0 + 52.0)));
}

#[gtest]
fn repeats_come_back_when_the_window_has_passed() {
    let start = time::Instant::now();
    let terms = repeats::Terms { ratio: 0.0, slack: 2.0, window: Duration::from_secs(10) };
    let mut repeats = repeats::Repeats::new(terms);
    expect_that!(repeats.take("s", 1, start), eq(true));
    expect_that!(repeats.take("s", 1, start), eq(false));
    expect_that!(repeats.take("other", 1, start), eq(true));
    expect_that!(repeats.take("s", 1, start + Duration::from_secs(11)), eq(true));
}

#[gtest]
fn a_server_that_cannot_be_reached_is_left_out_for_a_while() {
    let start = time::Instant::now();
    let mut standing = standing::Standing::new();
    standing.observe(standing::Outcome::Unreachable, start);
    expect_that!(standing.is_open(start + millis(200)), eq(false));
    expect_that!(standing.is_open(start + millis(400)), eq(true));
    for _ in 0..9 {
        standing.observe(standing::Outcome::Unreachable, start);
    }
    expect_that!(standing.is_open(start + millis(2_900)), eq(false));
    expect_that!(standing.is_open(start + millis(3_100)), eq(true));
    standing.observe(standing::Outcome::Good, start);
    expect_that!(standing.is_open(start), eq(true));
}

#[gtest]
fn a_server_that_fails_part_of_its_requests_costs_more_until_it_is_forgotten() {
    let start = time::Instant::now();
    let mut standing = standing::Standing::new();
    for request in 0..40 {
        let faulty = request % 5 < 2;
        let outcome = if faulty { standing::Outcome::Faulty } else { standing::Outcome::Good };
        standing.observe(outcome, start);
    }
    expect_that!(standing.slowness(start), ge(3.0));
    expect_that!(standing.slowness(start + Duration::from_secs(40)), le(1.1));
}

#[gtest]
fn one_wrong_clock_does_not_move_the_true_time() {
    let start = time::Instant::now();
    let hour = Duration::from_secs(3_600);
    let mut time = true_time::TrueTime::new(start, hour);
    for step in 0..100_u32 {
        let now = start + millis(200) * step;
        let truth = hour + millis(200) * step;
        let others = [truth + millis(3), truth - millis(2)];
        time.adjust(now, truth + Duration::from_secs(7), others);
        let off = time.at(now).abs_diff(truth);
        expect_that!(off, le(millis(10)));
    }
}

#[gtest]
fn a_clock_that_was_wrong_at_the_start_is_set_right_by_the_others() {
    let start = time::Instant::now();
    let truth = Duration::from_secs(3_600);
    let mut time = true_time::TrueTime::new(start, truth + Duration::from_secs(5));
    for step in 0..20 {
        // The own estimate and the own clock agree on the wrong time, three others don't.
        time.adjust(start, truth + Duration::from_secs(5), [truth; 3]);
        if step > 0 {
            expect_that!(time.at(start), eq(truth));
        }
    }
}

#[gtest]
fn counts_are_kept_by_window_and_copies_are_merged_once() {
    let mut windows = windows::Windows::new();
    let team = windows::team_hash("t");
    for window in [10, 10, 11] {
        windows.count(window, team);
    }
    let sent: Vec<_> = windows.newest(4).collect();
    let mut copy = windows::Windows::new();
    copy.merge(sent.clone());
    copy.merge(sent);
    expect_that!(copy, eq(&windows));
    windows.count(17, team);
    expect_that!(
        windows.newest(9).map(|(window, ..)| window).collect::<Vec<_>>(),
        elements_are![eq(&17)]
    );
}

fn tiers(list: &[u8]) -> urgency::Tiers {
    list.iter().copied().collect()
}

/// Ranks of each team tier on each route tier, late ones after timely ones.
fn all_ranks(teams: &[u8], routes: &[u8]) -> Vec<urgency::Rank> {
    let pairs = teams.iter().flat_map(|team| routes.iter().map(move |route| (*team, *route)));
    let ranks =
        pairs.map(|(team, route)| urgency::ranks(&tiers(teams), team, &tiers(routes), route));
    ranks.flat_map(|ranks| [ranks.timely, ranks.late]).collect()
}

#[gtest]
fn the_tier_of_the_team_goes_before_that_of_the_route_and_late_requests_end_their_tier() {
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
    fn no_request_falls_behind_one_of_a_lower_tier(
        teams in proptest::collection::btree_set(0_u8..20, 1..5),
        routes in proptest::collection::btree_set(0_u8..20, 1..5),
    ) {
        let list = |set: std::collections::BTreeSet<u8>| set.into_iter().collect::<Vec<_>>();
        let ranks = all_ranks(&list(teams), &list(routes));
        proptest::prop_assert!(ranks.is_sorted(), "{ranks:?}");
    }
}

#[gtest]
fn a_prompt_is_kept_up_to_its_first_part_that_is_not() {
    let start = time::Instant::now();
    let parts = |ids: &[u64]| -> codec::Segments {
        ids.iter().map(|id| codec::Segment { id: *id, tokens: 100 }).collect()
    };
    let mut cache = cache::Cache::new();
    cache.used(&parts(&[1, 2, 3]), start);
    expect_that!(cache.kept(&parts(&[1, 2, 9, 3]), start), eq(200));
    expect_that!(cache.kept(&parts(&[9, 1]), start), eq(0));
    expect_that!(cache.kept(&parts(&[1]), start + Duration::from_secs(60)), eq(0));
}

#[gtest]
fn the_time_to_read_a_prompt_follows_what_was_observed() {
    let mut pace = pace::Pace::default();
    let first = pace.time(10_000);
    for _ in 0..200 {
        pace.observe(10_000, millis(1_000));
    }
    expect_that!(pace.time(10_000), gt(first));
    expect_that!(pace.time(10_000), all![ge(millis(950)), le(millis(1_050))]);
    // Little work tells nothing.
    pace.observe(10, millis(1_000));
    expect_that!(pace.time(10_000), le(millis(1_050)));
}

#[gtest]
fn bounds_of_settings_that_were_read_again_are_taken() {
    let start = time::Instant::now();
    let mut freshness = freshness::Freshness::new(Duration::from_secs(5));
    freshness.confirmed(start);
    let now = start + Duration::from_secs(4);
    expect_that!(freshness.may_trust_keys(now), eq(true));
    expect_that!(freshness.set_bound(Duration::from_secs(5)), eq(false));
    expect_that!(freshness.set_bound(Duration::from_secs(3)), eq(true));
    expect_that!(freshness.may_trust_keys(now), eq(false));
    let terms = repeats::Terms { ratio: 0.0, slack: 2.0, window: Duration::from_secs(10) };
    let mut repeats = repeats::Repeats::new(terms);
    expect_that!(repeats.set_terms(terms), eq(false));
    expect_that!(repeats.set_terms(repeats::Terms { slack: 0.0, ..terms }), eq(true));
    expect_that!(repeats.take("s", 1, start), eq(false));
}

#[gtest]
fn rested_connections_are_avoided_for_a_while_after_a_loss_and_longer_if_it_recurs() {
    let start = time::Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let long = Duration::from_millis(300);
    let mut rest = rest::Rest::new();
    expect_that!(rest.lost(rest::TRUSTED, at(0)), eq(false));
    expect_that!(rest.most(at(0)), eq(Duration::MAX));
    // (loss at, first second at which rested connections are used again)
    for (loss, again) in [(1, 11), (12, 32), (33, 73), (74, 134), (400, 410)] {
        expect_that!(rest.most(at(loss)), eq(Duration::MAX), "{loss}");
        expect_that!(rest.lost(long, at(loss)), eq(true), "{loss}");
        expect_that!(rest.lost(long, at(loss)), eq(false), "{loss}");
        expect_that!(rest.most(at(again - 1)), eq(rest::TRUSTED), "{loss}");
        expect_that!(rest.most(at(again)), eq(Duration::MAX), "{loss}");
    }
}
