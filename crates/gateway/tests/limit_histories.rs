//! The limit of a backend server over all gateways, in fleets whose gateways start, end, freeze, are
//! cut off, are added or don't know each other.

mod support;

use std::time::Duration;

use azuregap_gateway::decision::backend_limit;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use support::limit_fleet;
use support::limit_fleet::Event;
use support::network;

/// Sizes of fleets; the gateways of the last one are not all neighbours.
const FLEETS: [usize; 4] = [1, 4, 8, 48];

/// When the backend server begins to name a limit; the fleet has served for long then.
const NAMED: u64 = 30;

type History = Vec<(Duration, Event)>;

/// Limits that a backend server names, each from a time on.
type Limits = Vec<(Duration, Option<f64>)>;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Limits from [`NAMED`] on, each for eight seconds, the last one until the end.
fn limits(limits: &[Option<f64>]) -> Limits {
    let from = (NAMED..).step_by(8).map(seconds);
    std::iter::once((Duration::ZERO, None)).chain(from.zip(limits.iter().copied())).collect()
}

/// A history in which callers send requests from the tenth second on.
fn busy(events: impl IntoIterator<Item = (u64, Event)>) -> History {
    let mut history = vec![(seconds(10), Event::Rate(0..usize::MAX, 6.0))];
    history.extend(events.into_iter().map(|(at, event)| (seconds(at), event)));
    history.sort_by_key(|(at, _)| *at);
    history
}

/// Asserts that no window of the history has more requests than allowed.
fn expect_bound(name: &str, gateways: usize, limits: &Limits, seed: u64, history: &History) {
    let mut fleet = limit_fleet::Fleet::new(gateways, limits.clone(), seed);
    fleet.play(history, seconds(75));
    let (end, requests, allowed) = fleet.worst_window();
    let case = format!("{name}, {gateways} gateways, seed {seed}, window that ends at {end:?}");
    expect_that!(requests as f64, le(allowed), "{case}");
}

/// Histories of a fleet, by what happens in them.
fn histories(gateways: usize) -> [(&'static str, History); 10] {
    let (all, half) = (0..gateways, 0..gateways.div_ceil(2));
    let end = |at| (at, Event::End(all.clone()));
    let rolling = (0..gateways).map(|index| {
        let step = 10 * index as u64 / gateways as u64;
        (NAMED + 2 + step, Event::End(index..index + 1))
    });
    [
        ("no disruption", busy([])),
        ("ends of all", busy([end(33), end(35), end(36), end(41)])),
        ("ends in turn", busy(rolling)),
        (
            "ends while cut off",
            busy([
                (31, Event::Isolate(all.clone(), seconds(20))),
                (31, Event::Detach(all.clone(), seconds(5))),
                end(34),
            ]),
        ),
        ("half of them cut off", busy([(25, Event::Isolate(half.clone(), seconds(30)))])),
        ("all of them cut off", busy([(25, Event::Isolate(all.clone(), seconds(30)))])),
        (
            "freezes",
            busy([
                (32, Event::Freeze(all.clone(), seconds(4))),
                (40, Event::Freeze(half.clone(), seconds(9))),
            ]),
        ),
        ("added", busy([(33, Event::Add(gateways)), (45, Event::Add(1))])),
        (
            "added behind a cut",
            busy([
                (29, Event::Isolate(all.clone(), seconds(25))),
                (32, Event::Add(gateways)),
                (37, Event::Add(2)),
            ]),
        ),
        (
            "gone for good, then added",
            busy([
                (33, Event::Remove(half.clone())),
                (35, Event::Add(half.len())),
                (38, Event::Rate(0..usize::MAX, 15.0)),
            ]),
        ),
    ]
}

#[gtest]
fn gateways_that_restart_or_are_cut_off_send_a_limited_server_no_more_than_it_takes() {
    for gateways in FLEETS {
        for (name, history) in histories(gateways) {
            expect_bound(name, gateways, &limits(&[Some(1.8)]), 1, &history);
        }
    }
}

/// Histories in which gateways are lost, replaced or forgotten by the store before others start again.
fn losses(gateways: usize) -> [(&'static str, History); 6] {
    let (all, half) = (0..gateways, 0..gateways.div_ceil(2));
    let end = |at| (at, Event::End(0..usize::MAX));
    let restore = |at| (at, Event::Restore(seconds(8)));
    [
        ("one gone for good, then ends", busy([(33, Event::Remove(0..1)), end(36), end(43)])),
        (
            "cut off, then ends of the others and new ones",
            busy([
                (32, Event::Isolate(half.clone(), seconds(40))),
                (33, Event::Detach(half.clone(), seconds(40))),
                (34, Event::Add(gateways)),
                (36, Event::End(half.end..usize::MAX)),
            ]),
        ),
        (
            "all replaced, with and without their addresses",
            busy([
                (33, Event::Replace(half.clone())),
                (34, Event::End(half.end..gateways)),
                (39, Event::End(gateways..usize::MAX)),
            ]),
        ),
        (
            "all gone, then new ones that end",
            busy([(33, Event::Remove(all.clone())), (34, Event::Add(gateways)), end(42)]),
        ),
        ("back from a copy, then ends", busy([restore(35), end(36), restore(44), end(45)])),
        (
            "added, and forgotten by a copy while they end",
            busy([(33, Event::Add(gateways)), restore(37), end(37), end(48)]),
        ),
    ]
}

#[gtest]
fn gateways_that_start_again_beside_lost_ones_send_a_limited_server_no_more_than_it_takes() {
    for gateways in FLEETS {
        for (name, history) in losses(gateways) {
            expect_bound(name, gateways, &limits(&[Some(1.8)]), 1, &history);
            expect_bound(name, gateways, &limits(&[Some(12.0)]), 2, &history);
        }
    }
}

#[gtest]
fn random_losses_of_gateways_while_a_server_names_limits_exceed_them_in_no_window() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let gateways = FLEETS[seed as usize % 3];
        let limit = rng.random_range(0.0..12.0);
        let mut events = network::random_events(gateways, 20..60, 20.0, &mut rng);
        events.extend(network::random_losses(gateways, 20..60, &mut rng));
        let history = busy(events);
        expect_bound("random losses", gateways, &limits(&[Some(limit)]), seed, &history);
    }
}

#[gtest]
fn a_gateway_that_is_gone_costs_its_share_of_a_limit_also_after_the_others_start_again() {
    // Guards against fleets that sent limited servers nothing for a minute after all their processes
    // were killed beside a gateway that was gone for good.
    for gateways in [4, 8, 48, 301] {
        let mut fleet = limit_fleet::Fleet::new(gateways, limits(&[Some(1.8)]), 1);
        let lost = (33, Event::Remove(0..1));
        fleet.play(&busy([lost, (40, Event::End(0..gateways))]), seconds(62));
        // Within twelve seconds, with the shares of all other holders.
        let arrivals = fleet.arrivals_in(seconds(52)..seconds(62)) as f64;
        let shares = (backend_limit::HOLDERS - 1) as f64 / backend_limit::HOLDERS as f64;
        expect_that!(arrivals, ge(0.8 * shares * 18.0), "{gateways} gateways");
    }
}

#[gtest]
fn limits_that_change_are_kept_by_all_gateways_together() {
    for (name, named) in [
        ("zero", &[Some(0.0)][..]),
        ("tiny", &[Some(0.01)]),
        ("large", &[Some(40.0)]),
        ("falling", &[Some(20.0), Some(4.0), Some(0.5), Some(0.0)]),
        ("rising", &[Some(0.2), Some(1.0), Some(6.0), None]),
        ("ended and named again", &[Some(1.5), None, Some(1.5), None, Some(0.7)]),
    ] {
        for gateways in FLEETS {
            expect_bound(name, gateways, &limits(named), 1, &busy([]));
        }
    }
}

#[gtest]
fn random_disruptions_while_a_server_names_limits_exceed_them_in_no_window() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let gateways = FLEETS[seed as usize % 3];
        let named: Vec<_> = (0..rng.random_range(1..5))
            .map(|_| rng.random_bool(0.8).then(|| rng.random_range(0.0..6.0)))
            .collect();
        let history = busy(network::random_events(gateways, 20..60, 20.0, &mut rng));
        expect_bound("random", gateways, &limits(&named), seed, &history);
    }
}

#[gtest]
fn a_limited_server_gets_what_it_takes_from_fleets_of_any_size() {
    for (gateways, end) in [(1, 75), (4, 75), (8, 75), (48, 75), (301, 50)] {
        let mut fleet = limit_fleet::Fleet::new(gateways, limits(&[Some(1.8)]), 1);
        fleet.play(&busy([]), seconds(end));
        let arrivals = fleet.arrivals_in(seconds(35)..seconds(end)) as f64;
        let taken = 1.8 * (end - 35) as f64;
        expect_that!(arrivals, all!(ge(0.8 * taken), le(1.1 * taken + 3.0)), "{gateways} gateways");
    }
}

#[gtest]
fn all_gateways_send_again_after_the_end_of_a_limit() {
    for gateways in FLEETS {
        let mut fleet = limit_fleet::Fleet::new(gateways, limits(&[Some(1.8), None]), 1);
        fleet.play(&busy([]), seconds(50));
        // Six requests a second reach each gateway.
        let expected = 6.0 * 5.0 * gateways as f64;
        let arrivals = fleet.arrivals_in(seconds(45)..seconds(50)) as f64;
        expect_that!(arrivals, ge(0.9 * expected), "{gateways} gateways");
    }
}
