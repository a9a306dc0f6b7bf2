//! Requests that crash backend servers, over all gateways, in fleets whose gateways start, end,
//! freeze, are cut off or are added, beside sound requests that are lost with them.

mod support;

use std::ops;
use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use support::crash_fleet;
use support::crash_fleet::Event;
use support::crash_fleet::Kind;
use support::network;

/// Sizes of fleets; the gateways of the last one are not all neighbours.
const FLEETS: [usize; 3] = [1, 3, 8];

/// Sends that may follow the third crash of a request.
const MAX_LATE_SENDS: usize = 3;

/// When a history ends.
const END: Duration = Duration::from_secs(60);

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

const fn deadly(rate: f64, attempts: usize) -> Kind {
    Kind { is_deadly: true, rate, steps: 1, attempts, segment: None }
}

const fn sound(rate: f64, steps: u32, attempts: usize) -> Kind {
    Kind { is_deadly: false, rate, steps, attempts, segment: None }
}

type History = Vec<(Duration, Event)>;

/// A kind whose prompts begin with a segment that others have too.
const fn shared(kind: Kind) -> Kind {
    Kind { segment: Some(1), ..kind }
}

/// Histories of a fleet, by what happens in them.
fn histories(gateways: usize) -> [(&'static str, History); 7] {
    let (all, half) = (0..gateways, 0..gateways.div_ceil(2));
    let end = |at| (seconds(at), Event::End(all.clone()));
    let rolling = (0..gateways).map(|index| {
        let at = Duration::from_millis(5_000 + 20_000 * index as u64 / gateways as u64);
        (at, Event::End(index..index + 1))
    });
    let freeze = |at, range: &ops::Range<usize>, span| {
        (seconds(at), Event::Freeze(range.clone(), seconds(span)))
    };
    [
        ("no disruption", Vec::new()),
        ("ends of all", vec![end(14), end(16), end(22), end(35)]),
        ("ends in turn", rolling.collect()),
        ("freezes", vec![freeze(12, &half, 4), freeze(20, &all, 3), freeze(30, &half, 9)]),
        ("half of them cut off", vec![(seconds(12), Event::Isolate(half.clone(), seconds(8)))]),
        ("no store", vec![(seconds(11), Event::Detach(all.clone(), seconds(15))), end(29)]),
        ("additions", vec![(seconds(13), Event::Add(gateways)), (seconds(20), Event::Add(2))]),
    ]
}

/// The service and its callers.
struct Load {
    name: &'static str,
    servers: usize,
    kinds: Vec<Kind>,
    /// Share of the sound requests that may be rejected.
    max_rejected: f64,
}

/// Share of a history that two turns of trials take.
const TWO_TURNS: f64 = 2.0 * 4.0 / 60.0;

fn loads() -> [Load; 6] {
    let few = || vec![sound(20.0, 1, 2), sound(0.5, 1, 2), sound(4.0, 1, 1)];
    let streams = || (0..40).map(|_| sound(0.3, 40, 1));
    [
        Load {
            name: "repeated at the next server",
            servers: 3,
            kinds: [deadly(0.6, 2)].into_iter().chain(few()).collect(),
            max_rejected: 0.0,
        },
        Load {
            name: "once only",
            servers: 3,
            kinds: [deadly(1.5, 1)].into_iter().chain(few()).collect(),
            max_rejected: 0.0,
        },
        Load {
            name: "at many gateways at once",
            servers: 12,
            kinds: vec![deadly(40.0, 1)],
            max_rejected: 0.0,
        },
        Load {
            name: "several",
            servers: 3,
            kinds: (0..5).map(|_| deadly(0.3, 2)).chain(few()).collect(),
            max_rejected: 0.0,
        },
        Load {
            name: "prompts with a common segment",
            servers: 12,
            kinds: [shared(deadly(6.0, 2))]
                .into_iter()
                .chain((0..40).map(|_| shared(sound(0.3, 30, 2))))
                .collect(),
            max_rejected: TWO_TURNS,
        },
        Load {
            name: "beside long streams",
            servers: 12,
            kinds: [deadly(0.6, 2)].into_iter().chain(streams()).collect(),
            max_rejected: 0.0,
        },
    ]
}

/// Plays a history; returns the most late sends of a deadly request, and the share of the sound requests
/// that were rejected.
fn play(gateways: usize, load: &Load, seed: u64, history: &History) -> (usize, f64) {
    let mut fleet = crash_fleet::Fleet::new(gateways, load.servers, load.kinds.clone(), seed);
    fleet.play(history, END);
    let of = |is_deadly: bool| {
        let kinds = load.kinds.iter().zip(&fleet.tallies);
        kinds.filter(move |(kind, _)| kind.is_deadly == is_deadly).map(|(_, tally)| tally)
    };
    let late = of(true).map(crash_fleet::Tally::late_sends).max().unwrap_or_default();
    let rejections: usize = of(false).map(|tally| tally.rejections).sum();
    let answers: usize = of(false).map(|tally| tally.answers).sum();
    (late, rejections as f64 / (answers + rejections).max(1) as f64)
}

#[gtest]
fn a_request_that_crashed_three_servers_is_sent_three_times_at_most_by_all_gateways() {
    for gateways in FLEETS {
        for (name, history) in histories(gateways) {
            for load in loads() {
                for seed in 0..1 {
                    let (late, rejected) = play(gateways, &load, seed, &history);
                    let case = format!("{name}, {}, {gateways} gateways, seed {seed}", load.name);
                    expect_that!(late, le(MAX_LATE_SENDS), "{case}");
                    expect_that!(rejected, le(load.max_rejected), "{case}");
                }
            }
        }
    }
}

#[gtest]
fn random_disruptions_let_no_request_crash_servers_on_and_on() {
    for seed in 0..24 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let gateways = rng.random_range(1..12);
        let mut history: History = network::random_events(gateways, 5..40, 1.0, &mut rng)
            .into_iter()
            .map(|(at, event)| (seconds(at), event))
            .collect();
        history.sort_by_key(|(at, _)| *at);
        for load in loads() {
            let (late, _) = play(gateways, &load, seed, &history);
            expect_that!(late, le(MAX_LATE_SENDS), "{}, seed {seed}", load.name);
        }
    }
}
