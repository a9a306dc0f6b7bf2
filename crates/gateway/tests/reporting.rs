//! Usage reports of simulated fleets in which any part of the gateways freezes, is cut off,
//! restarts or is turned away by the store.

mod support;

use std::time::Duration;

use azuregap_gateway::decision::candidacy;
use azuregap_gateway::decision::report_readiness;
use azuregap_gateway::peers;
use googletest::prelude::*;
use support::addresses;
use support::fleet;

/// Time by which a fleet without faults has elected a reporter.
const START: Duration = Duration::from_secs(10);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn is_after_start(window: u64) -> bool {
    fleet::Fleet::end_of(window) >= START
}

/// Requests that ran at the given gateways in the due windows that end from `since` on and are
/// missing in the reports, and the number of such windows that have no report.
fn deficit_of(
    fleet: &fleet::Fleet,
    since: Duration,
    gateways: impl IntoIterator<Item = usize> + Clone,
) -> (u64, usize) {
    let (mut missing, mut unreported) = (0, 0);
    let due = fleet.due_windows().filter(|window| fleet::Fleet::end_of(*window) >= since);
    for window in due {
        let Some(report) = fleet.reports.get(&window) else {
            unreported += 1;
            continue;
        };
        for index in gateways.clone() {
            let truth =
                fleet.truth[&window].get(&addresses::team(index)).copied().unwrap_or_default();
            let counted = report.counts.get(&addresses::team(index)).copied().unwrap_or_default();
            expect_that!(counted, le(truth), "window {window}, gateway {index}");
            missing += truth.saturating_sub(counted);
        }
    }
    (missing, unreported)
}

/// The same for all gateways.
fn deficit(fleet: &fleet::Fleet, since: Duration) -> (u64, usize) {
    deficit_of(fleet, since, 0..fleet.gateways.len())
}

#[gtest]
fn a_fleet_without_faults_reports_every_request_soon_after_the_window() {
    for size in [1, 3, 41, 42, 68, 300] {
        let mut fleet = fleet::Fleet::new(size, 1, 0.0);
        fleet.run_until(seconds(40));
        expect_that!(deficit(&fleet, START), eq((0, 0)), "{size} gateways");
        for window in fleet.due_windows().filter(|window| is_after_start(*window)) {
            expect_that!(fleet.reports[&window].ended, lt(seconds(4)), "{size} gateways");
        }
    }
}

#[gtest]
fn half_of_the_fleet_may_freeze_for_seven_seconds_at_any_point_of_a_window() {
    for (size, offset) in [(4, 0), (12, 1), (42, 2), (68, 0), (68, 1), (68, 2), (68, 3), (68, 4)] {
        let mut fleet = fleet::Fleet::new(size, 7 + offset, 0.01);
        fleet.run_until(seconds(20 + offset));
        // The reporter is the first of the order, or soon after it.
        let holder = fleet.holder().expect("a gateway holds the lease");
        let order = fleet.order();
        for index in order.iter().step_by(2).chain([&holder]) {
            fleet.gateways[*index].frozen_until = fleet.now + seconds(7);
        }
        fleet.run_until(seconds(60));
        expect_that!(deficit(&fleet, START), eq((0, 0)), "{size} gateways, offset {offset} s");
    }
}

#[gtest]
fn the_first_half_of_the_order_may_freeze_with_all_copies_of_its_counts() {
    // Its counts are known to no other gateway, and it wakes up in time to send them.
    for (size, offset) in [(42, 0), (68, 0), (68, 3), (68, 4), (300, 3)] {
        let mut fleet = fleet::Fleet::new(size, 17 + offset, 0.01);
        fleet.run_until(seconds(20 + offset));
        let order = fleet.order();
        for index in &order[..size / 2] {
            fleet.gateways[*index].frozen_until = fleet.now + Duration::from_millis(6_500);
        }
        fleet.run_until(seconds(50));
        expect_that!(deficit(&fleet, START), eq((0, 0)), "{size} gateways, offset {offset} s");
    }
}

#[gtest]
fn a_reporter_far_down_the_order_gets_all_counts_while_it_holds_the_lease() {
    let mut fleet = fleet::Fleet::new(68, 3, 0.01);
    fleet.run_until(seconds(15));
    let order = fleet.order();
    // All but the last ones are away until one of these holds the lease.
    for index in &order[..60] {
        fleet.gateways[*index].frozen_until = fleet.now + seconds(7);
    }
    fleet.run_until(seconds(24));
    let holder = fleet.holder().expect("a gateway holds the lease");
    expect_that!(order[60..], contains(eq(&holder)));
    fleet.run_until(seconds(60));
    expect_that!(fleet.holder(), some(eq(holder)));
    expect_that!(deficit(&fleet, START), eq((0, 0)));
}

#[gtest]
fn usage_is_reported_while_the_store_turns_the_first_candidates_away() {
    for (size, away) in [(4, 3), (25, 8), (68, 3), (68, 23)] {
        let mut fleet = fleet::Fleet::new(size, 5, 0.01);
        fleet.run_until(seconds(20));
        for index in &fleet.order()[..away] {
            fleet.gateways[*index].away_until = seconds(200);
        }
        fleet.run_until(seconds(60));
        expect_that!(deficit(&fleet, START), eq((0, 0)), "{away} of {size} gateways");
    }
}

#[gtest]
fn reports_stay_right_when_the_first_candidates_die_together() {
    let mut fleet = fleet::Fleet::new(68, 11, 0.01);
    fleet.run_until(seconds(20));
    // More than the gateways that counts are sent to by default.
    let order = fleet.order();
    let (dead, alive) = order.split_at(20);
    for index in dead {
        fleet.gateways[*index].frozen_until = seconds(1_000);
    }
    fleet.run_until(seconds(60));
    expect_that!(deficit_of(&fleet, START, alive.iter().copied()), eq((0, 0)));
}

#[gtest]
fn a_restarted_reporter_gets_back_what_it_had_counted_before() {
    for (size, offset) in [(3, 1), (4, 2), (12, 3), (41, 4), (42, 1), (68, 3)] {
        let mut fleet = fleet::Fleet::new(size, 31 + offset, 0.01);
        fleet.run_until(seconds(20 + offset));
        let holder = fleet.holder().expect("a gateway holds the lease");
        fleet.restart(holder);
        fleet.run_until(seconds(60));
        let (missing, unreported) = deficit(&fleet, START);
        expect_that!(unreported, eq(0), "{size} gateways, offset {offset} s");
        expect_that!(missing, le(fleet.lost), "{size} gateways, offset {offset} s");
    }
}

#[gtest]
fn a_reporter_that_was_frozen_tells_its_successor_of_processes_that_ended_meanwhile() {
    let mut fleet = fleet::Fleet::new(4, 41, 0.0);
    fleet.run_until(Duration::from_millis(24_400));
    let holder = fleet.holder().expect("a gateway holds the lease");
    fleet.gateways[holder].frozen_until = fleet.now + Duration::from_millis(6_600);
    // Restarted at the same time, so that the frozen one alone knows of their counts. Its socket
    // has received their last messages.
    fleet.run_until(Duration::from_millis(24_700));
    for index in (0..4).filter(|index| *index != holder) {
        fleet.restart(index);
    }
    fleet.run_until(seconds(60));
    let (missing, unreported) = deficit(&fleet, START);
    expect_that!(unreported, eq(0));
    expect_that!(missing, le(fleet.lost));
}

#[gtest]
fn reports_do_not_wait_for_gateways_that_have_stopped() {
    for size in [4, 68] {
        let mut fleet = fleet::Fleet::new(size, 51, 0.0);
        fleet.run_until(seconds(20));
        let last = fleet.order()[size - 1];
        fleet.gateways[last].stopping_at = fleet.now;
        fleet.run_until(seconds(60));
        expect_that!(deficit(&fleet, START), eq((0, 0)), "{size} gateways");
        for window in fleet.due_windows().filter(|window| is_after_start(*window)) {
            expect_that!(fleet.reports[&window].ended, lt(seconds(5)), "{size} gateways");
        }
    }
}

#[gtest]
fn each_report_that_can_be_right_is_right_under_random_faults() {
    for (size, seed) in [(3, 1), (3, 2), (9, 3), (30, 4), (42, 5), (68, 6), (68, 7), (68, 8)] {
        let mut fleet = fleet::Fleet::new(size, seed, 0.01);
        fleet.run_until(START);
        while fleet.now < seconds(100) {
            let share = fleet.draw(size as u64) + 1;
            let kind = fleet.draw(4);
            // One of the gateways that have copies of the counts keeps them.
            let witness = fleet.order()[fleet.draw(3) as usize];
            for _ in 0..share {
                let index = fleet.draw(size as u64) as usize;
                if kind == 3 && index == witness {
                    continue;
                }
                let until = fleet.now + Duration::from_millis(fleet.draw(4_000));
                match kind {
                    0 => fleet.gateways[index].frozen_until = until,
                    1 => fleet.gateways[index].cut_until = until,
                    2 => fleet.gateways[index].away_until = until,
                    _ => fleet.restart(index),
                }
            }
            // Calm until the reports of the windows with faults are due.
            let calm = fleet.now + seconds(14);
            fleet.run_until(calm);
        }
        fleet.run_until(seconds(125));
        let (missing, unreported) = deficit(&fleet, START);
        expect_that!(unreported, eq(0), "{size} gateways, seed {seed}");
        expect_that!(missing, le(fleet.lost), "{size} gateways, seed {seed}");
    }
}

#[gtest]
fn a_candidate_that_cannot_reach_the_store_makes_room_for_another() {
    let news = Duration::from_millis(2_500);
    let table = [
        ("the first of the order", 0, 0, Some(seconds(0)), true),
        ("the third", 2, 2, Some(seconds(0)), true),
        ("the fourth", 3, 3, Some(seconds(9)), false),
        ("the fourth, one of three turned away", 3, 2, Some(seconds(9)), true),
        ("the same, right after an outage", 3, 2, Some(seconds(1)), false),
        ("the first, turned away itself", 0, 0, None, false),
        ("the last, all turned away", 60, 0, None, false),
    ];
    for (case, alive_before, able_before, reachable, expected) in table {
        let standing = candidacy::Standing { alive_before, able_before, reachable };
        expect_that!(candidacy::competes(standing, news), eq(expected), "{case}");
    }
}

#[gtest]
fn counts_are_frozen_when_complete_or_when_time_runs_out() {
    let minute = 60_000;
    let table = [
        (1_000, minute, 0, 68, false),
        (2_600, minute, 0, 68, true),
        // Counts of ended processes, which nobody misses, may be on their way to a new reporter.
        (2_600, 100, 0, 68, false),
        (2_600, minute, 1, 68, false),
        (8_400, minute, 1, 68, false),
        (8_500, minute, 1, 68, true),
        (7_000, minute, 0, 3_000, true),
        (6_900, minute, 0, 3_000, false),
        (8_500, minute, 2_999, 3_000, true),
        // A gateway that has just become the reporter waits for the answers to its requests.
        (8_500, 100, 67, 68, false),
        (8_700, 1_000, 67, 68, false),
        (8_700, 1_700, 67, 68, true),
        (8_800, 100, 67, 68, true),
    ];
    for (ended, collecting, missing, gateways, expected) in table {
        let progress = report_readiness::Progress {
            ended: Duration::from_millis(ended),
            collecting: Duration::from_millis(collecting),
            missing,
        };
        let may = report_readiness::may_freeze(progress, gateways, fleet::DUE);
        expect_that!(may, eq(expected), "{progress:?} of {gateways}");
    }
}

#[gtest]
fn messages_of_earlier_and_later_versions_are_understood() {
    let mut message = peers::GossipMessage {
        node: "g-1".to_owned(),
        incarnation: 4,
        wall_time: seconds(9),
        cached: Vec::new(),
        news: peers::News::default(),
        limits: Vec::new(),
        is_introduction: false,
        suspects: None,
        teams: Vec::new(),
        loads: Vec::new(),
        counts: vec![peers::UsageCount { window: 1, team: 2, requests: 3 }],
        notice: None,
    };
    let old = message.encode();
    expect_that!(peers::GossipMessage::decode(&old), ok(eq(&message)));
    message.notice = Some(peers::UsageNotice {
        can_report: true,
        is_leaving: false,
        counts_wanted: Some(7),
        totals: Some(vec![(1, 3)]),
        relayed: Vec::new(),
    });
    message.suspects = Some(Vec::new());
    message.teams = vec!["t".to_owned()];
    let new = message.encode();
    expect_that!(peers::GossipMessage::decode(&new), ok(eq(&message)));
    // An earlier version reads the fields that it knows and ignores the rest.
    expect_that!(new[..old.len()], eq(&old[..]));
    // The messages of versions before end without names, without suspects, without limits and
    // introductions, without the empty news, and without the empty list of segments.
    let without_names = new.len() - 3;
    let without_suspects = without_names - 1;
    let without_limits = without_suspects - 2;
    let without_news = without_limits - 3;
    let without_segments = without_news - 1;
    let ends = [old.len(), without_segments, without_news, without_limits, without_suspects];
    let whole: Vec<_> = ends.into_iter().chain([without_names]).collect();
    for length in 0..new.len() {
        let decoded = peers::GossipMessage::decode(&new[..length]);
        let is_whole = whole.contains(&length);
        expect_that!(decoded.is_ok(), eq(is_whole), "{length} bytes");
    }
}
