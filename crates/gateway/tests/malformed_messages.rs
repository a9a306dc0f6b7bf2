//! Messages between gateways that are malformed or state impossible figures.

mod support;

use std::net;
use std::panic;
use std::time::Duration;

use azuregap_gateway::decision::backend_limit;
use azuregap_gateway::decision::median_clock;
use azuregap_gateway::decision::quarantine;
use azuregap_gateway::decision::usage_counts;
use azuregap_gateway::peers;
use azuregap_gateway::request_digest;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use tokio::time;

const WINDOW: Duration = Duration::from_secs(5);

fn current_window() -> u64 {
    usage_counts::window_at(support::START_TIME, WINDOW)
}

const START: Duration = support::START_TIME;

/// A suspect with one crash at a time of day, of a request that was sent then.
fn suspect(id: quarantine::SuspectId, at: Duration, started_ms: u64) -> quarantine::Suspect {
    let crash = quarantine::Crash { backend_hash: 7, started_ms, sent_at: at, at };
    quarantine::Suspect { id, crashes: [crash].into_iter().collect(), answered_at: START }
}

/// A segment and a request that are suspected of a crash.
fn suspects(at: Duration, started_ms: u64) -> Option<Vec<quarantine::Suspect>> {
    let digest = request_digest::RequestDigest(u128::MAX);
    let ids = [quarantine::SuspectId::Segment(9), quarantine::SuspectId::Request(digest)];
    Some(ids.map(|id| suspect(id, at, started_ms)).to_vec())
}

fn news(at: Duration) -> peers::News {
    let segment = suspect(quarantine::SuspectId::Segment(9), at, 1).as_segment();
    peers::News {
        segments: segment.into_iter().collect(),
        leaving: vec![peers::LeavingBackend { backend_hash: 7, started_ms: 1 }],
        configuration: Some(3),
    }
}

fn message() -> peers::GossipMessage {
    let entry = peers::RankEntry { rank: 2, in_flight: 3, pending_prefill: 900 };
    let load = peers::BackendLoad { backend_hash: 7, long_prompts: 1, ranks: vec![entry] };
    let window = current_window();
    let count = peers::UsageCount { window, team: 2, requests: 3 };
    peers::GossipMessage {
        node: "g-2".to_owned(),
        incarnation: 1,
        wall_time: support::START_TIME,
        loads: vec![load],
        counts: vec![count],
        notice: Some(peers::UsageNotice {
            can_report: true,
            totals: Some(vec![(window, 3)]),
            relayed: vec![peers::RelayedCounts {
                node: "g-3".to_owned(),
                incarnation: 1,
                counts: vec![count],
            }],
            ..peers::UsageNotice::default()
        }),
        cached: vec![peers::CachedSegment { backend_hash: 7, segment: 9 }],
        news: news(START),
        limits: vec![limit(0, 1)],
        is_introduction: false,
        suspects: suspects(START, 1),
        teams: Vec::new(),
    }
}

/// What a gateway tells of a limit, as a statement of so long ago about a run.
fn limit(age: u64, started_ms: u64) -> backend_limit::ToldLimit {
    let age = Duration::from_millis(age);
    let limit = Some(1.8);
    backend_limit::ToldLimit { backend_hash: 7, started_ms, limit, sent_age: age, heard_age: age }
}

/// Does with a datagram what a gateway does.
fn receive(peers: &mut peers::Peers, clock: &mut median_clock::MedianClock, bytes: &[u8]) {
    let now = time::Instant::now();
    let from = net::SocketAddr::from(([127, 0, 0, 1], 9));
    let Ok(message) = peers::GossipMessage::decode(bytes) else { return };
    let mut limits = backend_limit::BackendLimits::default();
    for told in &message.limits {
        limits.record_told(told, now);
        limits.place(told.backend_hash, told.started_ms, || Some(0.5), now);
    }
    limits.tell(now);
    let mut quarantine = quarantine::Quarantine::new(0.0);
    quarantine.merge(&message.told_suspects(), START);
    let digest = request_digest::RequestDigest(u128::MAX);
    let ids = [quarantine::SuspectId::Segment(9), quarantine::SuspectId::Request(digest)];
    let _ = quarantine.admit(&ids, START);
    let _ = quarantine.tell(START);
    peers.handle_message(message, from, now);
    let _ = peers.load(7, now);
    clock.adjust(now, support::START_TIME, peers.clock_estimates(now));
    let window = usage_counts::window_at(clock.time_at(now), WINDOW);
    peers.prune_counts(window, WINDOW);
    let ended =
        usage_counts::EndedWindow::new(window.saturating_sub(1), WINDOW, support::START_TIME);
    let _ = peers.missing_counts(&ended, Duration::ZERO, now);
}

fn new_clock() -> median_clock::MedianClock {
    median_clock::MedianClock::new(time::Instant::now(), support::START_TIME)
}

#[gtest]
fn impossible_figures_are_rejected_and_change_nothing() {
    let base = message();
    let entry = |in_flight, pending_prefill| {
        let entry = peers::RankEntry { rank: 2, in_flight, pending_prefill };
        vec![peers::BackendLoad { backend_hash: 7, long_prompts: 1, ranks: vec![entry; 300] }]
    };
    let counts = |window, requests| vec![peers::UsageCount { window, team: 2, requests }];
    let notice = |totals| base.notice.clone().map(|notice| peers::UsageNotice { totals, ..notice });
    let table = [
        ("time", peers::GossipMessage { wall_time: Duration::MAX, ..base.clone() }),
        ("load", peers::GossipMessage { loads: entry(u32::MAX, 1), ..base.clone() }),
        ("prompts", peers::GossipMessage { loads: entry(1, u64::MAX), ..base.clone() }),
        ("window", peers::GossipMessage { counts: counts(u64::MAX, 1), ..base.clone() }),
        (
            "requests",
            peers::GossipMessage { counts: counts(current_window(), u64::MAX), ..base.clone() },
        ),
        (
            "totals",
            peers::GossipMessage { notice: notice(Some(vec![(u64::MAX, 1)])), ..base.clone() },
        ),
        ("age", peers::GossipMessage { limits: vec![limit(u64::MAX, 1)], ..base.clone() }),
        ("run", peers::GossipMessage { limits: vec![limit(0, u64::MAX)], ..base.clone() }),
        (
            "run that crashed",
            peers::GossipMessage {
                suspects: suspects(START, u64::MAX),
                loads: entry(1, 1),
                ..base.clone()
            },
        ),
        (
            "crash of a suspect",
            peers::GossipMessage {
                suspects: suspects(Duration::from_millis(u64::MAX), 1),
                loads: entry(1, 1),
                ..base.clone()
            },
        ),
        (
            "crash",
            peers::GossipMessage {
                news: news(Duration::from_millis(u64::MAX)),
                loads: entry(1, 1),
                ..base.clone()
            },
        ),
    ];
    for (name, message) in table {
        let played = panic::catch_unwind(|| {
            let (mut peers, mut clock) = (peers::Peers::default(), new_clock());
            receive(&mut peers, &mut clock, &base.encode());
            receive(&mut peers, &mut clock, &message.encode());
            let sums: Vec<_> = peers.counts().sums(current_window()).map(|(_, sum)| sum).collect();
            (peers.load(7, time::Instant::now()).total().in_flight, sums)
        });
        expect_that!(played.ok(), some((eq(&3), elements_are![eq(&3), eq(&3)])), "{name}");
    }
}

#[gtest]
fn no_datagram_ends_the_process() {
    let mut random = rand::rngs::SmallRng::seed_from_u64(1);
    let base = message().encode();
    let (mut peers, mut clock) = (peers::Peers::default(), new_clock());
    for case in 0..30_000 {
        let mut bytes = base.clone();
        for _ in 0..random.random_range(1..6) {
            let at = random.random_range(0..bytes.len());
            match random.random_range(0..4) {
                0 => bytes[at] = random.random(),
                1 => bytes[at] = 0xff,
                2 => bytes.insert(at, 0xff),
                _ => bytes.truncate(at.max(1)),
            }
        }
        let played = panic::catch_unwind(panic::AssertUnwindSafe(|| {
            receive(&mut peers, &mut clock, &bytes);
        }));
        expect_that!(played.is_ok(), is_true(), "case {case}: {bytes:?}");
    }
}
