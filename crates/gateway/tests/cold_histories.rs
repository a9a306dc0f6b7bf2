//! Requests to a cold backend server over all gateways, in fleets whose gateways start, end, freeze,
//! are cut off or are added.

mod support;

use std::time::Duration;

use azuregap_gateway::decision::cold_server;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use support::cold_fleet;
use support::cold_fleet::Event;
use support::network;

/// Sizes of fleets; the gateways of the last one are not all neighbours.
const FLEETS: [usize; 4] = [1, 4, 8, 48];

const BOUND: cold_server::Bound = cold_server::Bound { overrun: 1.5, slack: 5.0 };

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Starts of the runs of a server that was warm for long.
fn runs() -> Vec<Duration> {
    std::iter::once(Duration::ZERO).chain((30..70).step_by(5).map(seconds)).collect()
}

fn busy(events: impl IntoIterator<Item = (u64, Event)>) -> Vec<(Duration, Event)> {
    let mut history = vec![(seconds(10), Event::Rate(0..usize::MAX, 9.0))];
    history.extend(events.into_iter().map(|(at, event)| (seconds(at), event)));
    history.sort_by_key(|(at, _)| *at);
    history
}

fn expect_bound(gateways: usize, pace: f64, seed: u64, history: &[(Duration, Event)]) {
    let mut fleet = cold_fleet::Fleet::new(gateways, BOUND.allowance(pace), runs(), seed);
    fleet.play(history, seconds(75));
    let allowed = pace * BOUND.overrun + BOUND.slack;
    let case = format!("{gateways} gateways, pace {pace}, seed {seed}");
    expect_that!(fleet.worst_second() as f64, le(allowed), "{case}");
}

#[gtest]
fn random_disruptions_send_a_cold_server_no_more_than_it_tolerates() {
    for seed in 0..48 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let gateways = FLEETS[seed as usize % FLEETS.len()];
        let pace = [0.1, 0.5, 1.0, 4.0, 11.0, 40.0][rng.random_range(0..6)];
        let history = busy(network::random_events(gateways, 20..65, 30.0, &mut rng));
        expect_bound(gateways, pace, seed, &history);
    }
}

#[gtest]
fn random_losses_of_gateways_send_a_cold_server_no_more_than_it_tolerates() {
    for seed in 0..48 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let gateways = FLEETS[seed as usize % FLEETS.len()];
        let pace = [0.5, 4.0, 11.0, 40.0][rng.random_range(0..4)];
        let mut events = network::random_events(gateways, 20..65, 30.0, &mut rng);
        events.extend(network::random_losses(gateways, 20..65, &mut rng));
        expect_bound(gateways, pace, seed, &busy(events));
    }
}

#[gtest]
fn fleets_that_end_or_freeze_at_once_send_a_cold_server_no_more_than_it_tolerates() {
    for gateways in FLEETS {
        let all = 0..gateways;
        for events in [
            vec![],
            vec![(31, Event::End(all.clone())), (46, Event::End(all.clone()))],
            vec![(29, Event::Freeze(all.clone(), seconds(4)))],
            vec![(25, Event::Isolate(all, seconds(30))), (41, Event::Add(gateways))],
        ] {
            expect_bound(gateways, 11.0, 1, &busy(events));
        }
    }
}

#[gtest]
fn a_gateway_that_is_gone_leaves_a_cold_server_to_the_others_after_they_start_again() {
    // Guards against fleets that sent cold servers nothing for a minute after all their processes
    // were killed beside a gateway that was gone for good.
    for gateways in FLEETS.into_iter().skip(1) {
        let mut fleet = cold_fleet::Fleet::new(gateways, BOUND.allowance(11.0), runs(), 1);
        let rate = (seconds(10), Event::Rate(0..usize::MAX, 30.0));
        let lost = (seconds(33), Event::Remove(0..1));
        fleet.play(&[rate, lost, (seconds(38), Event::End(0..gateways))], seconds(75));
        // Cold starts from twelve seconds after the ends on, with the shares of all other holders.
        let arrivals: usize = (5..9).map(|run| fleet.aware_arrivals(run)).sum();
        expect_that!(
            arrivals as f64,
            ge(0.5 * 4.0 * 3.0 * 11.0 * 2.0 / 3.0),
            "{gateways} gateways"
        );
    }
}

#[gtest]
fn a_cold_server_gets_the_pace_that_serves_callers_well() {
    for gateways in FLEETS {
        let mut fleet = cold_fleet::Fleet::new(gateways, BOUND.allowance(11.0), runs(), 1);
        fleet.play(&[(seconds(10), Event::Rate(0..usize::MAX, 30.0))], seconds(75));
        // The second half of the cold starts, in which all gateways know of them.
        let arrivals: usize = (2..6).map(|run| fleet.cold_arrivals(run)).sum();
        expect_that!(arrivals as f64, ge(0.5 * 4.0 * 3.0 * 11.0), "{gateways} gateways");
    }
}
