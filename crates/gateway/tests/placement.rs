//! On which backend server a request runs, as decided without a network.

use azuregap_gateway::decision::arrival_rate;
use azuregap_gateway::decision::engine_partition;
use azuregap_gateway::decision::placement;
use googletest::prelude::*;
use std::time::Duration;
use tokio::time;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn candidate(hash: u32) -> placement::Candidate {
    placement::Candidate {
        hash,
        in_flight: 0,
        competing: 0,
        slots: 32,
        pending_prefill: 0,
        uncached: 3_000,
        recomputed: 0,
        cost_factor: 1.0,
        other_partition: false,
        same_zone: true,
    }
}

#[gtest]
fn a_request_goes_where_least_work_stands_before_its_first_token() {
    let base = candidate(1);
    let table = [
        ("less prompt to read", placement::Candidate { pending_prefill: 2_000, ..base }),
        ("fewer running", placement::Candidate { in_flight: 9, ..base }),
        ("a free slot", placement::Candidate { competing: 32, ..base }),
        (
            "parts that are kept",
            placement::Candidate { uncached: 9_000, recomputed: 6_000, ..base },
        ),
        ("a sound server", placement::Candidate { cost_factor: 2.0, ..base }),
        ("the own kind", placement::Candidate { other_partition: true, ..base }),
        ("the own availability zone", placement::Candidate { same_zone: false, ..base }),
    ];
    for (reason, worse) in table {
        let better = candidate(2);
        expect_that!(placement::choose_cheapest(&[worse, better], 7), some(eq(1)), "{reason}");
        expect_that!(placement::choose_cheapest(&[better, worse], 7), some(eq(0)), "{reason}");
    }
    expect_that!(placement::choose_cheapest(&[], 7), none());
}

#[gtest]
fn a_session_stays_at_its_home_until_the_wait_is_longer_than_reading_it_again_is_worth() {
    let home = |prefill| placement::Candidate { pending_prefill: prefill, ..candidate(1) };
    let other = placement::Candidate { uncached: 9_000, recomputed: 6_000, ..candidate(2) };
    expect_that!(placement::choose_cheapest(&[home(30_000), other], 7), some(eq(0)));
    expect_that!(placement::choose_cheapest(&[home(90_000), other], 7), some(eq(1)));
}

#[gtest]
fn a_request_whose_own_servers_are_full_goes_where_less_urgent_work_gives_way() {
    let own = placement::Candidate {
        in_flight: 64,
        competing: 64,
        pending_prefill: 20_000,
        ..candidate(1)
    };
    let foreign = placement::Candidate { other_partition: true, in_flight: 33, ..candidate(2) };
    expect_that!(placement::choose_cheapest(&[own, foreign], 7), some(eq(1)));
    let as_urgent = placement::Candidate { competing: 33, pending_prefill: 300_000, ..foreign };
    expect_that!(placement::choose_cheapest(&[own, as_urgent], 7), some(eq(0)));
}

#[gtest]
fn requests_that_fit_go_to_the_cheapest_and_more_are_dealt_over_all() {
    let full = |hash| placement::Candidate { in_flight: 40, competing: 40, ..candidate(hash) };
    let freed = placement::Candidate { in_flight: 24, competing: 24, ..candidate(9) };
    let servers = [full(1), full(2), full(3), freed];
    let dealt = |expected: f64| {
        let mut counts = [0.0; 4];
        for step in 0..1_000 {
            let draw = f64::from(step) / 1_000.0;
            counts[placement::choose_weighted(&servers, expected, draw).expect("a choice")] += 1.0;
        }
        counts.map(|count: f64| count / 1_000.0 * expected)
    };
    expect_that!(dealt(8.0), eq([0.0, 0.0, 0.0, 8.0]));
    let many = dealt(100.0);
    // 24 + 100 and three times 40: all end with about as many.
    expect_that!(many[3], all![gt(30.0), lt(45.0)]);
    for count in &many[..3] {
        expect_that!(*count, all![gt(15.0), lt(25.0)]);
    }
    expect_that!(placement::choose_weighted(&[], 10.0, 0.5), none());
}

#[gtest]
fn what_others_send_meanwhile_is_expected_from_the_own_rate() {
    let start = time::Instant::now();
    let mut arrivals = arrival_rate::ArrivalRate::default();
    expect_that!(arrivals.expected_count(28, millis(700), start), eq(0.0));
    for step in 0..100_u32 {
        arrivals.observe(start + millis(50) * step);
    }
    let now = start + millis(5_000);
    // 20 requests a second of each of 28 gateways, for a tenth of a second.
    expect_that!(arrivals.expected_count(28, millis(100), now), all![gt(50.0), lt(62.0)]);
    expect_that!(arrivals.expected_count(28, millis(100), now + millis(7_000)), lt(0.1));
}

#[gtest]
fn equals_are_spread_by_the_draw() {
    let all: Vec<_> = (1..=8).map(|n| candidate(n * 0x1234_5679)).collect();
    let mut seen = [0; 8];
    for draw in 0..800_u32 {
        let at =
            placement::choose_cheapest(&all, draw.wrapping_mul(2_654_435_761)).expect("a choice");
        seen[at] += 1;
    }
    expect_that!(seen, each(gt(20)));
}

#[gtest]
fn gateways_agree_on_the_homes_and_few_move_when_a_server_leaves() {
    let hashes: Vec<u32> = (0..40_u32).map(|n| n.wrapping_mul(2_654_435_761)).collect();
    let mut moved = 0;
    for part in 0..1_000 {
        let homes = placement::preferred_backends(part, hashes.iter().copied());
        let again = placement::preferred_backends(part, hashes.iter().rev().copied());
        expect_that!(homes, eq(&again));
        let fewer = placement::preferred_backends(part, hashes[1..].iter().copied());
        moved += u32::from(homes[0] != fewer[0]);
        if homes[0] == hashes[0] {
            expect_that!(fewer[0], eq(homes[1]));
        }
    }
    // One home in forty was at the server that left.
    expect_that!(moved, all![ge(5), le(60)]);
}

#[gtest]
fn engines_are_divided_in_proportion_to_the_work() {
    let start = time::Instant::now();
    let table = [
        ("long alone", 10.0, 0.0, None),
        ("short alone", 0.0, 60.0, None),
        ("even", 6.0, 36.0, Some(6)),
        ("mostly long", 18.0, 12.0, Some(1)),
        ("mostly short", 2.0, 120.0, Some(11)),
    ];
    for (name, long, short, expected) in table {
        let mut division = engine_partition::EnginePartition::new();
        division.observe_tier(true, 1);
        let work = engine_partition::Demand { long, short };
        expect_that!(division.update(work, 12, 32, start), eq(expected), "{name}");
    }
    let work = engine_partition::Demand { long: 9.0, short: 9.0 };
    expect_that!(engine_partition::EnginePartition::new().update(work, 1, 32, start), none());
}

#[gtest]
fn in_a_burst_of_long_prompts_the_higher_tier_keeps_the_engines_it_wants() {
    let start = time::Instant::now();
    // 40 engines; short requests want 10 of them, long ones want 200.
    let work = engine_partition::Demand { long: 400.0, short: 120.0 };
    let mut division = engine_partition::EnginePartition::new();
    division.observe_tier(true, 1);
    division.observe_tier(false, 0);
    expect_that!(division.update(work, 40, 32, start), some(eq(10)));
    let mut division = engine_partition::EnginePartition::new();
    division.observe_tier(true, 0);
    division.observe_tier(false, 1);
    expect_that!(division.update(work, 40, 32, start), some(eq(26)));
}

#[gtest]
fn the_division_does_not_move_with_every_request() {
    let start = time::Instant::now();
    let mut division = engine_partition::EnginePartition::new();
    division.observe_tier(true, 1);
    let first = division.update(engine_partition::Demand { long: 6.0, short: 36.0 }, 12, 32, start);
    for step in 1..200_u32 {
        let long = if step % 2 == 0 { 7.0 } else { 5.0 };
        let now = start + millis(20) * step;
        let next = division.update(engine_partition::Demand { long, short: 36.0 }, 12, 32, now);
        expect_that!(next, eq(first));
    }
}
