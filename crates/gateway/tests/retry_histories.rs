//! The retry budget over all gateways, in fleets whose gateways start, end, freeze, are cut off, are
//! added or don't know each other.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use support::network;
use support::retry_fleet;
use support::retry_fleet::Event;

/// Sizes of fleets, with the fixed allowance of each; the gateways of the last are not all neighbours.
const FLEETS: [(usize, f64); 4] = [(1, 20.0), (4, 54.0), (8, 84.0), (48, 176.0)];

/// When the backend servers begin to fail; the fleet has served for long then.
const FAILING: u64 = 40;

type History = Vec<(Duration, Event)>;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Time from the ends of all gateways until the retry budget is used again, at most.
const RECOVERY: u64 = 12;

/// A history in which callers send requests from the tenth second on, and most sends fail from
/// [`FAILING`] on.
fn failing(events: impl IntoIterator<Item = (u64, Event)>) -> History {
    let mut history = vec![
        (seconds(10), Event::Rate(0..usize::MAX, 12.0)),
        (seconds(FAILING), Event::Failures(0.9)),
    ];
    history.extend(events.into_iter().map(|(at, event)| (seconds(at), event)));
    history.sort_by_key(|(at, _)| *at);
    history
}

/// Asserts that no window of the history has more retries than allowed; returns all retries.
fn expect_bound(name: &str, gateways: usize, slack: f64, seed: u64, history: &History) -> usize {
    let mut fleet = retry_fleet::Fleet::new(gateways, slack, seed);
    fleet.play(history, seconds(75));
    let (end, retries, allowed) = fleet.worst_window();
    let case = format!("{name}, {gateways} gateways, seed {seed}, window that ends at {end:?}");
    expect_that!(retries as f64, le(allowed), "{case}");
    fleet.repeat_count()
}

#[gtest]
fn restarts_and_cuts_while_backend_servers_fail_exceed_no_retry_window() {
    for (gateways, slack) in FLEETS {
        let (all, half) = (0..gateways, 0..gateways.div_ceil(2));
        let end = |at| (at, Event::End(all.clone()));
        let rolling = (0..gateways).map(|index| {
            let step = 10 * index as u64 / gateways as u64;
            (FAILING + 2 + step, Event::End(index..index + 1))
        });
        let histories = [
            ("no disruption", failing([])),
            ("one end of all", failing([end(43)])),
            ("four ends of all", failing([end(41), end(43), end(45), end(47)])),
            ("ends in turn", failing(rolling)),
            (
                "ends while cut off",
                failing([
                    (39, Event::Isolate(all.clone(), seconds(20))),
                    (39, Event::Detach(all.clone(), seconds(5))),
                    end(42),
                ]),
            ),
            ("half of them cut off", failing([(30, Event::Isolate(half.clone(), seconds(30)))])),
            ("all of them cut off", failing([(30, Event::Isolate(all.clone(), seconds(30)))])),
            (
                "freezes",
                failing([
                    (41, Event::Freeze(all.clone(), seconds(4))),
                    (48, Event::Freeze(half.clone(), seconds(9))),
                ]),
            ),
            ("added", failing([(41, Event::Add(gateways))])),
            (
                "added behind a cut",
                failing([
                    (38, Event::Isolate(all.clone(), seconds(25))),
                    (40, Event::Add(gateways)),
                ]),
            ),
            (
                "gone for good, then added",
                failing([
                    (38, Event::Remove(half.clone())),
                    (41, Event::Add(half.len())),
                    (45, Event::Rate(0..usize::MAX, 25.0)),
                ]),
            ),
            (
                "callers move to half of them",
                failing([
                    (45, Event::Rate(half.clone(), 24.0)),
                    (45, Event::Rate(half.end..usize::MAX, 0.0)),
                    (47, Event::End(half.clone())),
                ]),
            ),
        ];
        for (name, history) in histories {
            expect_bound(name, gateways, slack, 1, &history);
        }
    }
}

#[gtest]
fn random_disruptions_while_backend_servers_fail_exceed_no_retry_window() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (gateways, slack) = FLEETS[seed as usize % 3];
        let history = failing(network::random_events(gateways, 30..60, 30.0, &mut rng));
        expect_bound("random", gateways, slack, seed, &history);
    }
}

#[gtest]
fn losses_of_gateways_while_backend_servers_fail_exceed_no_retry_window() {
    for (gateways, slack) in FLEETS {
        let half = 0..gateways.div_ceil(2);
        let end = |at| (at, Event::End(0..usize::MAX));
        let histories = [
            (
                "one gone for good, then ends",
                failing([(38, Event::Remove(0..1)), end(43), end(50)]),
            ),
            ("half replaced, then ends", failing([(38, Event::Replace(half)), end(43), end(55)])),
            (
                "added, and forgotten by a copy while they end",
                failing([(41, Event::Add(gateways)), (45, Event::Restore(seconds(8))), end(45)]),
            ),
        ];
        for (name, history) in histories {
            expect_bound(name, gateways, slack, 1, &history);
        }
    }
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (gateways, slack) = FLEETS[seed as usize % 3];
        let mut events = network::random_events(gateways, 30..60, 30.0, &mut rng);
        events.extend(network::random_losses(gateways, 30..60, &mut rng));
        expect_bound("random losses", gateways, slack, seed, &failing(events));
    }
}

#[gtest]
fn a_gateway_that_is_gone_costs_its_part_of_the_retries_also_after_the_others_start_again() {
    // Guards against fleets that retried nothing for a minute after all their processes were killed
    // beside a gateway that was gone for good: the rate of requests alone allows no retry here.
    for (gateways, slack) in FLEETS.into_iter().skip(1) {
        let lost = (30, Event::Remove(0..1));
        let rate = (36, Event::Rate(0..usize::MAX, 1.0));
        let history = failing([lost, rate, (36, Event::End(0..gateways))]);
        let mut fleet = retry_fleet::Fleet::new(gateways, slack, 1);
        fleet.play(&history, seconds(36 + RECOVERY));
        let before = fleet.repeat_count();
        fleet.play(&[], seconds(36 + RECOVERY + 10));
        let parts = slack * (gateways - 1) as f64 / gateways as f64;
        let retries = (fleet.repeat_count() - before) as f64;
        expect_that!(retries, ge(0.7 * parts), "{gateways} gateways");
    }
}
