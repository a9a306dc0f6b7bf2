//! Which prompt segments are kept from backend servers, and how fast gateways agree on it.

mod support;

use std::collections;
use std::time::Duration;

use azuregap_gateway::codec;
use azuregap_gateway::decision::gossip_timing;
use azuregap_gateway::decision::quarantine;
use azuregap_gateway::peers;
use azuregap_gateway::state;
use azuregap_gateway::store;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use support::addresses;
use support::gossiping::*;
use tokio::time;

/// The segment that all prompts begin with.
const COMMON: codec::SegmentId = 1;

/// The segment that always comes with the guilty one.
const COMPANION: codec::SegmentId = 5;

/// The segment that crashes engines.
const GUILTY: codec::SegmentId = 66;

fn prompt(ids: &[codec::SegmentId]) -> Vec<quarantine::SuspectId> {
    ids.iter().map(|id| quarantine::SuspectId::Segment(*id)).collect()
}

/// A crash of a backend server, which runs for at most four seconds, while it ran a request that it
/// had got just before.
fn crash(backend_hash: u32, at: Duration) -> quarantine::Crash {
    let started_ms = at.as_millis() as u64 / 4_000;
    quarantine::Crash { backend_hash, started_ms, sent_at: at - Duration::from_millis(500), at }
}

fn at(millis: u64) -> Duration {
    support::START_TIME + Duration::from_millis(millis)
}

/// What happened to a prompt at a moment, in milliseconds.
enum Event {
    Crash(u64, u32, Vec<codec::SegmentId>),
    Answer(u64, Vec<codec::SegmentId>),
}

fn play(events: &[Event]) -> quarantine::Quarantine {
    let mut quarantine = quarantine::Quarantine::new(0.0);
    for event in events {
        match event {
            Event::Crash(millis, backend, ids) => {
                quarantine.record_crash(&prompt(ids), crash(*backend, at(*millis)));
            }
            Event::Answer(millis, ids) => {
                quarantine.record_answer(&prompt(ids), at(*millis), at(millis + 400));
            }
        }
    }
    quarantine
}

#[gtest]
fn only_prompts_with_a_segment_that_crashes_and_is_never_answered_are_rejected() {
    use Event::Answer;
    use Event::Crash;
    let deadly = || vec![COMMON, COMPANION, GUILTY];
    let three = |ids: Vec<codec::SegmentId>| {
        vec![
            Crash(1_000, 1, ids.clone()),
            Crash(2_000, 2, ids.clone()),
            Crash(3_000, 3, ids.clone()),
        ]
    };
    let mut answered = three(deadly());
    answered.insert(2, Answer(2_500, vec![COMMON]));
    let mut bystanders = three(deadly());
    // Requests that wait at the same engines are lost with the guilty ones.
    bystanders.extend(three(vec![COMMON, 7]));
    let mut mended = three(deadly());
    mended.push(Answer(3_500, deadly()));
    let mut elsewhere = three(deadly());
    elsewhere.extend([
        Crash(5_000, 4, vec![8]),
        Crash(6_000, 5, vec![8]),
        Crash(7_000, 6, vec![8]),
    ]);
    let table: [(&str, Vec<Event>, Vec<codec::SegmentId>, bool); 13] = [
        ("nothing happened", vec![], deadly(), true),
        ("two crashes", three(deadly()).into_iter().take(2).collect(), deadly(), true),
        ("three crashes", three(deadly()), deadly(), false),
        ("three crashes, the companion alone", three(deadly()), vec![COMMON, COMPANION], true),
        ("three crashes, the common segment alone", three(deadly()), vec![COMMON], true),
        ("the common segment is answered", answered, deadly(), false),
        ("a bystander is lost as often", bystanders, vec![COMMON, 7], true),
        ("the guilty one is answered", mended, deadly(), true),
        ("another guilty one", elsewhere, vec![COMMON, 8], false),
        (
            "three engines at about the same moment",
            vec![Crash(1_000, 1, vec![8]), Crash(1_050, 2, vec![8]), Crash(1_100, 3, vec![8])],
            vec![8],
            true,
        ),
        (
            "one engine is lost by three requests",
            vec![Crash(1_000, 1, vec![8]), Crash(1_400, 1, vec![8]), Crash(1_800, 1, vec![8])],
            vec![8],
            true,
        ),
        (
            "an answer that began before the crashes",
            [Answer(900, vec![8])].into_iter().chain(three(vec![8])).collect(),
            vec![8],
            false,
        ),
        (
            "one engine that crashes again after its restart",
            vec![Crash(1_000, 1, vec![8]), Crash(5_000, 1, vec![8]), Crash(9_000, 1, vec![8])],
            vec![8],
            false,
        ),
    ];
    for (name, events, ids, admitted) in table {
        let verdict = play(&events).admit(&prompt(&ids), at(8_000));
        let is_admitted = verdict == Ok(quarantine::Admission::Normal);
        expect_that!(is_admitted, eq(admitted), "{name}: {verdict:?}");
    }
}

#[gtest]
fn a_lost_request_is_retried_unless_its_prompt_was_lost_before() {
    let crash = |second: u64| Event::Crash(second * 1_000, second as u32, vec![COMMON, GUILTY]);
    for (crashes, ids, retried) in [
        (1, vec![COMMON, GUILTY], true),
        (2, vec![COMMON, GUILTY], false),
        (2, vec![COMMON, 7], true),
        (2, vec![], true),
    ] {
        let quarantine = play(&(1..=crashes).map(crash).collect::<Vec<_>>());
        expect_that!(quarantine.may_retry(&prompt(&ids)), eq(retried), "{crashes} {ids:?}");
    }
}

#[gtest]
fn single_requests_are_sent_after_the_hold_until_one_is_answered() {
    let guilty = prompt(&[GUILTY]);
    let crashes: Vec<_> =
        (1..=3).map(|n| Event::Crash(n * 1_000, n as u32, vec![GUILTY])).collect();
    let mut quarantine = play(&crashes);
    let seconds = |seconds: u64| at(seconds * 1_000);
    let rejection = quarantine.admit(&guilty, seconds(303)).expect_err("rejected");
    expect_that!(rejection.time_left, eq(Duration::from_secs(300)));
    expect_that!(quarantine.admit(&guilty, seconds(604)), ok(eq(quarantine::Admission::Trial)));
    expect_that!(quarantine.admit(&guilty, seconds(605)).is_err(), is_true());
    quarantine.record_crash(&guilty, crash(9, seconds(606)));
    expect_that!(quarantine.admit(&guilty, seconds(1_200)).is_err(), is_true());
    expect_that!(quarantine.admit(&guilty, seconds(1_207)), ok(eq(quarantine::Admission::Trial)));
    quarantine.record_answer(&guilty, seconds(1_208), seconds(1_209));
    expect_that!(quarantine.admit(&guilty, seconds(1_210)), ok(eq(quarantine::Admission::Normal)));
    expect_that!(quarantine.admit(&guilty, seconds(1_211)), ok(eq(quarantine::Admission::Normal)));
}

#[gtest]
fn outdated_news_is_corrected_and_restarted_gateways_learn_all() {
    let now = at(40_000);
    let crashes: Vec<_> =
        (1..=3).map(|n| Event::Crash(n * 1_000, n as u32, vec![COMMON])).collect();
    let mut frozen = play(&crashes);
    let mut other = play(&crashes);
    other.record_answer(&prompt(&[COMMON]), at(5_000), at(6_000));
    expect_that!(other.tell(now), is_empty());
    other.merge(&frozen.tell(now), now);
    expect_that!(other.admit(&prompt(&[COMMON]), now), ok(eq(quarantine::Admission::Normal)));
    frozen.merge(&other.tell(now), now);
    expect_that!(frozen.admit(&prompt(&[COMMON]), now), ok(eq(quarantine::Admission::Normal)));
    let guilty: Vec<_> = (1..=3).map(|n| Event::Crash(n * 1_000, n as u32, vec![GUILTY])).collect();
    let mut restarted = quarantine::Quarantine::new(0.0);
    restarted.merge(&play(&guilty).tell(now), now);
    expect_that!(restarted.admit(&prompt(&[GUILTY]), now).is_err(), is_true());
}

#[gtest]
fn many_lost_segments_take_bounded_memory_and_the_guilty_one_is_kept() {
    let mut quarantine = quarantine::Quarantine::new(0.0);
    for n in 0..5_000 {
        let millis = n * 20;
        quarantine.record_crash(&prompt(&[1_000 + n]), crash(n as u32, at(millis)));
        if n < 3 {
            quarantine.record_crash(&prompt(&[GUILTY]), crash(n as u32, at(n * 300)));
        }
    }
    expect_that!(quarantine.tell(at(100_000)).len(), eq(quarantine::MAX_TOLD));
    expect_that!(quarantine.admit(&prompt(&[GUILTY]), at(100_000)).is_err(), is_true());
}

#[gtest]
fn segments_of_few_crashes_are_told_for_a_short_time() {
    let crash = |second: u64| Event::Crash(second * 1_000, second as u32, vec![GUILTY]);
    for (crashes, told_at, told) in [(1, 5, 1), (2, 5, 1), (1, 60, 0), (2, 60, 0), (3, 60, 1)] {
        let mut quarantine = play(&(1..=crashes).map(crash).collect::<Vec<_>>());
        let count = quarantine.tell(at(told_at * 1_000)).len();
        expect_that!(count, eq(told), "{crashes} crashes, {told_at} s");
    }
}

#[gtest]
fn crashes_of_long_ago_are_forgotten() {
    let crash = |second: u64| Event::Crash(second * 1_000, second as u32, vec![GUILTY]);
    let quarantine = play(&[crash(1), crash(2), crash(4_000)]);
    expect_that!(quarantine.may_retry(&prompt(&[GUILTY])), is_true());
}

/// A gateway of the version before tells no suspects.
#[gtest]
fn suspects_are_told_after_what_the_version_before_knows() {
    let suspects = play(&[Event::Crash(1_000, 1, vec![GUILTY])]).tell(at(1_000));
    let segments = suspects.iter().filter_map(quarantine::Suspect::as_segment).collect();
    let message = peers::GossipMessage {
        node: "g-1".to_owned(),
        incarnation: 1,
        wall_time: support::START_TIME,
        loads: Vec::new(),
        counts: Vec::new(),
        notice: Some(peers::UsageNotice::default()),
        cached: vec![peers::CachedSegment { backend_hash: 7, segment: 9 }],
        news: peers::News { segments, ..peers::News::default() },
        limits: Vec::new(),
        is_introduction: false,
        suspects: None,
        teams: Vec::new(),
    };
    let bytes = message.encode();
    expect_that!(peers::GossipMessage::decode(&bytes), ok(eq(&message)));
    // The empty news take three bytes, which that version doesn't send, and what follows them two.
    let older = peers::GossipMessage { news: peers::News::default(), ..message };
    let older_bytes = older.encode();
    let older_bytes = &older_bytes[..older_bytes.len() - 5];
    expect_that!(&bytes[..older_bytes.len()], eq(older_bytes));
    expect_that!(peers::GossipMessage::decode(older_bytes), ok(eq(&older)));
}

fn rejects_guilty(state: &state::State) -> bool {
    let now = state.time_of_day();
    state.quarantine.borrow_mut().admit(&prompt(&[COMMON, GUILTY]), now).is_err()
}

/// Crashes of three backend servers with the guilty segment, seen by one gateway.
fn crash_three(state: &state::State) {
    for n in 1..=3 {
        let at = state.time_of_day() - Duration::from_secs(4 - n);
        let mut quarantine = state.quarantine.borrow_mut();
        quarantine.record_crash(&prompt(&[GUILTY]), crash(n as u32, at));
    }
    state.announce_news();
}

#[gtest]
fn gateways_tell_each_other_at_once() {
    actix_rt::System::new().block_on(async {
        let fake = support::FakeStore::default();
        let (first, second) = (gateway(&fake, "g-1").await, gateway(&fake, "g-2").await);
        pause(500).await;
        crash_three(&first);
        pause(150).await;
        expect_that!(rejects_guilty(&second), is_true());
    });
}

#[gtest]
fn quarantine_survives_the_end_of_all_gateways_and_a_store_from_a_copy() {
    for from_copy in [false, true] {
        actix_rt::System::new().block_on(async {
            let fake = support::FakeStore::default();
            let first = gateway(&fake, "g-1").await;
            let copy = fake.copy();
            crash_three(&first);
            expect_that!(rejects_guilty(&first), is_true());
            first.announce_news();
            pause(200).await;
            if from_copy {
                fake.restore(&copy);
                first.observe_era(fake.tables.borrow().era);
                pause(1_500).await;
            }
            // The second gateway has never heard of the first one.
            let _ = first.stopping.send(true);
            fake.put(store::Table::Gateways, "g-1", None);
            let second = gateway(&fake, "g-2").await;
            expect_that!(rejects_guilty(&second), is_true(), "from a copy: {from_copy}");
        });
    }
}

#[gtest]
fn saved_segments_that_were_answered_or_are_old_or_malformed_quarantine_nothing() {
    actix_rt::System::new().block_on(async {
        let fake = support::FakeStore::default();
        fake.put(store::Table::Gateways, "quarantine/42", Some("no segment"));
        let first = gateway(&fake, "g-1").await;
        crash_three(&first);
        expect_that!(rejects_guilty(&first), is_true());
        let saved = first.quarantine.borrow().unsaved();
        let now = first.time_of_day();
        let answered = now + Duration::from_millis(1);
        first.quarantine.borrow_mut().record_answer(&prompt(&[GUILTY]), answered, answered);
        expect_that!(rejects_guilty(&first), is_false());
        expect_that!(first.quarantine.borrow().is_obsolete(&saved[0], now), is_true());
        let empty = quarantine::Quarantine::new(0.0);
        expect_that!(empty.is_obsolete(&saved[0], now), is_false());
        expect_that!(empty.is_obsolete(&saved[0], now + Duration::from_secs(7_200)), is_true());
    });
}

/// Time until all gateways know the news of one of them, if a tenth of the messages is lost. News is
/// passed on after one step, and each gateway repeats it to its neighbours in the ring.
fn time_until_known(fleet: usize, seed: u64) -> Duration {
    const STEP: Duration = Duration::from_millis(60);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let now = time::Instant::now();
    let index_of: collections::HashMap<_, _> =
        (0..fleet).map(|index| (addresses::address(index), index)).collect();
    let mut peers = peers::Peers::default();
    for index in 0..fleet {
        peers.add_listed(format!("g-{index}"), addresses::address(index), now);
    }
    let neighbours: Vec<_> =
        (0..fleet).map(|index| peers.neighbours(&format!("g-{index}"), now)).collect();
    let interval = gossip_timing::load_interval(neighbours[0].len());
    let interval = interval.as_millis().div_ceil(STEP.as_millis()) as usize;
    let mut known = collections::BTreeSet::from([0]);
    let mut informed = vec![0];
    for step in 1.. {
        let mut recipients = Vec::new();
        for _ in std::mem::take(&mut informed) {
            recipients.extend(peers.news_recipients(rng.random()));
        }
        for index in known.iter().filter(|index| (*index + step) % interval == 0) {
            recipients.extend(&neighbours[*index]);
        }
        recipients.retain(|_| !rng.random_bool(0.1));
        informed.extend(recipients.iter().map(|address| index_of[address]));
        informed.retain(|index| known.insert(*index));
        if known.len() == fleet {
            return STEP * step as u32;
        }
    }
    Duration::MAX
}

/// The bound is the shortest time within which a quarantine must be in force everywhere.
#[gtest]
fn news_is_known_everywhere_within_three_seconds() {
    for fleet in [3, 22, 68, 3_100] {
        for seed in 0..5 {
            let time = time_until_known(fleet, seed);
            expect_that!(time, le(Duration::from_secs(3)), "{fleet} {seed}");
        }
    }
}

/// Its requests may have been lost faster than any of them could be answered.
#[gtest]
fn a_segment_that_was_answered_before_its_crashes_is_tried_in_turns_until_it_crashes_on() {
    let segment = prompt(&[COMMON]);
    for (crashes, answered_at, is_tried) in
        [(3, 900, true), (4, 900, true), (5, 900, false), (3, 0, false)]
    {
        let mut quarantine = quarantine::Quarantine::new(0.0);
        if answered_at > 0 {
            quarantine.record_answer(&segment, at(answered_at), at(answered_at));
        }
        for n in 1..=crashes {
            quarantine.record_crash(&segment, crash(n as u32, at(n * 1_000)));
        }
        let case = format!("{crashes} crashes, answered at {answered_at}");
        let first = quarantine.admit(&segment, at(8_500));
        expect_that!(first == Ok(quarantine::Admission::Trial), eq(is_tried), "{case}");
        expect_that!(quarantine.admit(&segment, at(9_000)).is_err(), is_true(), "{case}");
        let next = quarantine.admit(&segment, at(12_500));
        expect_that!(next == Ok(quarantine::Admission::Trial), eq(is_tried), "{case}");
    }
}
