//! The judgement of a request against the plain statement of its rule, on drawn histories.

use std::collections;
use std::time::Duration;

use azuregap_gateway::decision::quarantine;
use azuregap_gateway::request_digest;
use googletest::prelude::*;
use nix::time as nix_time;
use proptest::collection;
use proptest::sample;
use proptest::strategy::Strategy;
use proptest::strategy::ValueTree as _;
use proptest::test_runner;

/// Losses of a backend server whose run isn't known are one crash within this time.
const SAME_CRASH: Duration = Duration::from_millis(1_500);

/// Crashes closer together have one cause, unless one request was sent after the other crash.
const COMMON_CAUSE: Duration = Duration::from_millis(250);

/// What was answered so shortly before its first crash is answered all the time.
const CURRENT: Duration = Duration::from_secs(5);

/// Number of drawn histories, and events in each.
const CASES: usize = 600;
const EVENTS: usize = 40;

/// What the rule knows of a suspect.
#[derive(Clone, Debug, Default)]
struct Known {
    crashes: Vec<quarantine::Crash>,
    answered_at: Duration,
}

fn is_same(left: &quarantine::Crash, right: &quarantine::Crash) -> bool {
    if left.started_ms != 0 && right.started_ms != 0 {
        return (left.backend_hash, left.started_ms) == (right.backend_hash, right.started_ms);
    }
    left.backend_hash == right.backend_hash && left.at.abs_diff(right.at) < SAME_CRASH
}

impl Known {
    fn add(&mut self, crash: quarantine::Crash) {
        let is_known = self.crashes.iter().any(|known| is_same(known, &crash));
        if !is_known && crash.at > self.answered_at {
            self.crashes.push(crash);
        }
    }

    fn is_current(&self) -> bool {
        let first = self.crashes.iter().map(|crash| crash.at).min().unwrap_or_default();
        !self.answered_at.is_zero() && first.saturating_sub(self.answered_at) < CURRENT
    }
}

/// The rule, said plainly: each suspect of a request is compared with each suspect that isn't.
#[derive(Debug, Default)]
struct Rule {
    known: collections::BTreeMap<quarantine::SuspectId, Known>,
    answers: collections::BTreeMap<quarantine::SuspectId, Duration>,
}

impl Rule {
    fn record_crash(&mut self, own: &[quarantine::SuspectId], crash: quarantine::Crash) {
        for id in own {
            let answered_at = self.answers.get(id).copied().unwrap_or_default();
            let known = || Known { answered_at, ..Known::default() };
            self.known.entry(*id).or_insert_with(known).add(crash);
        }
    }

    fn record_answer(&mut self, own: &[quarantine::SuspectId], at: Duration) {
        for id in own {
            if !id.is_request() {
                self.answers.insert(*id, at);
            }
            let known = self.known.get_mut(id).filter(|known| !known.crashes.is_empty());
            if let Some(known) = known.filter(|known| at > known.answered_at) {
                known.answered_at = at;
                known.crashes.retain(|crash| crash.at > at);
            }
        }
    }

    fn unexplained(&self, id: &quarantine::SuspectId, own: &[quarantine::SuspectId]) -> usize {
        let suspect = &self.known[id];
        let is_rival = |rival: &Known| {
            let is_unanswered = rival.answered_at.is_zero() && rival.crashes.len() >= 2;
            rival.crashes.len() >= suspect.crashes.len() || (suspect.is_current() && is_unanswered)
        };
        let is_explained = |crash: &quarantine::Crash| {
            let mut rivals = self.known.iter().filter(|(other, _)| !own.contains(other));
            rivals.any(|(_, rival)| {
                is_rival(rival) && rival.crashes.iter().any(|other| is_same(other, crash))
            })
        };
        let crashes = suspect.crashes.iter().filter(|crash| !is_explained(crash));
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_by_key(|crash| crash.at);
        let (mut last, mut count): (Option<Duration>, _) = (None, 0);
        for crash in crashes {
            let is_apart = |last: Duration| {
                (!crash.sent_at.is_zero() && crash.sent_at >= last)
                    || crash.at - last >= COMMON_CAUSE
            };
            if last.is_none_or(is_apart) {
                (last, count) = (Some(crash.at), count + 1);
            }
        }
        count
    }

    fn guilty(&self, own: &[quarantine::SuspectId], min: usize) -> Option<quarantine::SuspectId> {
        let crashes =
            |id: &quarantine::SuspectId| self.known.get(id).map_or(0, |known| known.crashes.len());
        let is_spent = |id: &&quarantine::SuspectId| {
            id.is_request()
                && crashes(id) >= quarantine::MAX_TRIED_CRASHES
                && !self.known[*id].is_current()
        };
        if let Some(spent) = own.iter().find(is_spent) {
            return Some(*spent);
        }
        let lost = own.iter().filter(|id| crashes(id) >= min);
        let counted = lost.map(|id| (*id, self.unexplained(id, own)));
        let guilty = counted.filter(|(_, count)| *count >= min);
        guilty.max_by_key(|(_, count)| *count).map(|(id, _)| id)
    }

    /// The suspect for which a request is rejected, and whether it is guilty.
    fn rejection(&self, own: &[quarantine::SuspectId]) -> Option<(quarantine::SuspectId, bool)> {
        if let Some(guilty) = self.guilty(own, quarantine::REJECT_CRASHES) {
            return Some((guilty, true));
        }
        let is_doubtful = |id: &&quarantine::SuspectId| {
            let known = self.known.get(*id).filter(|_| id.is_request());
            known.is_some_and(|known| {
                known.crashes.len() >= quarantine::REJECT_CRASHES && !known.is_current()
            })
        };
        own.iter().find(is_doubtful).map(|id| (*id, false))
    }

    fn may_retry(&self, own: &[quarantine::SuspectId]) -> bool {
        let is_lost = |id: &quarantine::SuspectId| {
            id.is_request() && self.known.get(id).is_some_and(|known| known.crashes.len() >= 2)
        };
        !own.iter().any(is_lost) && self.guilty(own, 2).is_none()
    }
}

/// What happens: a request with some suspects crashes a run of a server, or is answered.
#[derive(Clone, Debug)]
struct Event {
    segments: Vec<u64>,
    request: u8,
    server: u32,
    /// Start of the run; zero if it isn't known.
    run: u64,
    pause_ms: u64,
    sent_ms: u64,
    is_crash: bool,
}

impl Event {
    fn draw() -> impl Strategy<Value = Self> {
        let segments = collection::vec(0..7_u64, 0..5);
        let pause = sample::select(&[0_u64, 3, 90, 240, 260, 1_400, 1_600, 5_200][..]);
        let sent = sample::select(&[0_u64, 10, 300, 2_000][..]);
        let fields = (segments, 0..4_u8, 0..4_u32, 0..3_u64, pause, sent, 0..4_u8);
        fields.prop_map(|(segments, request, server, run, pause_ms, sent_ms, kind)| Self {
            segments,
            request,
            server,
            run,
            pause_ms,
            sent_ms,
            is_crash: kind > 0,
        })
    }

    fn suspects(&self) -> Vec<quarantine::SuspectId> {
        let digest = request_digest::Identity {
            method: "GET",
            host: "h",
            target: "/",
            team: None,
            body: &[self.request],
        };
        let request = quarantine::SuspectId::Request(digest.digest());
        let segments = self.segments.iter().copied().map(quarantine::SuspectId::Segment);
        segments.chain([request]).collect()
    }
}

/// Guards against a quicker judgement that says something else than the rule.
#[gtest]
fn requests_are_judged_as_the_rule_says() {
    let config = test_runner::Config {
        rng_seed: test_runner::RngSeed::Fixed(13),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    let events = collection::vec(Event::draw(), EVENTS);
    let (mut rejected, mut guilty) = (0, 0);
    for case in 0..CASES {
        let mut quarantine = quarantine::Quarantine::new(0.0);
        let mut rule = Rule::default();
        let mut now = Duration::from_secs(1_000);
        for event in events.new_tree(&mut runner).expect("a history").current() {
            now += Duration::from_millis(event.pause_ms);
            let own = event.suspects();
            if event.is_crash {
                let sent_at = Duration::from_millis(event.sent_ms);
                let crash = quarantine::Crash {
                    backend_hash: event.server,
                    started_ms: event.run,
                    sent_at: if sent_at.is_zero() { sent_at } else { now - sent_at },
                    at: now,
                };
                quarantine.record_crash(&own, crash);
                rule.record_crash(&own, crash);
            } else {
                quarantine.record_answer(&own, now, now);
                rule.record_answer(&own, now);
            }
            let rejection = quarantine.find_rejection(&own, now);
            let judged = rejection.map(|found| (found.suspect, found.is_guilty));
            expect_that!(judged, eq(rule.rejection(&own)), "case {case}, {event:?}");
            expect_that!(quarantine.may_retry(&own), eq(rule.may_retry(&own)), "case {case}");
            rejected += usize::from(judged.is_some());
            guilty += usize::from(judged.is_some_and(|(_, is_guilty)| is_guilty));
        }
    }
    // The histories have to reach each of the verdicts.
    expect_that!((rejected - guilty, guilty), (gt(CASES), gt(CASES)));
}

fn segments(ids: std::ops::Range<u64>) -> Vec<quarantine::SuspectId> {
    ids.map(quarantine::SuspectId::Segment).collect()
}

/// Lets requests with some suspects crash three servers.
fn crash_three(quarantine: &mut quarantine::Quarantine, suspects: &[quarantine::SuspectId]) {
    for number in 1..=3 {
        let at = Duration::from_secs(1_000 + number);
        let (backend_hash, started_ms) = (number as u32, 1);
        let crash = quarantine::Crash { backend_hash, started_ms, sent_at: at, at };
        quarantine.record_crash(suspects, crash);
    }
}

fn cpu_time() -> Duration {
    let clock = nix_time::ClockId::CLOCK_THREAD_CPUTIME_ID;
    nix_time::clock_gettime(clock).expect("the thread has a clock").into()
}

/// Processor time of the judgement of a prompt that has crashed three servers, at best.
fn judging_time(parts: u64) -> Duration {
    let (mut quarantine, own) = (quarantine::Quarantine::new(0.0), segments(0..parts));
    crash_three(&mut quarantine, &own);
    let judge = |_| {
        let started = cpu_time();
        let rejection = quarantine.find_rejection(&own, Duration::from_secs(1_004));
        expect_that!(rejection, some(anything()));
        cpu_time() - started
    };
    (0..5).map(judge).min().expect("some runs")
}

/// Guards against rejections of long prompts that hold the thread which serves all requests: their time
/// grew with the cube of the segments.
#[gtest]
fn the_time_of_a_rejection_grows_no_faster_than_the_square_of_the_segments() {
    let (short, long) = (judging_time(100), judging_time(800));
    expect_that!(long.as_secs_f64() / short.as_secs_f64(), lt(64.0), "{short:?}, {long:?}");
}

/// Guards against a segment that crashes servers and is forgotten beside the others of its prompt.
#[gtest]
fn all_segments_of_the_longest_prompt_are_remembered_when_the_records_are_full() {
    let mut quarantine = quarantine::Quarantine::new(0.0);
    for first in (0..2_100).step_by(100) {
        quarantine.record_crash(
            &segments(10_000 + first..10_100 + first),
            quarantine::Crash {
                backend_hash: first as u32,
                started_ms: 1,
                sent_at: Duration::from_secs(900),
                at: Duration::from_secs(900),
            },
        );
    }
    let own = segments(0..1_800);
    crash_three(&mut quarantine, &own);
    let forgotten = own.iter().filter(|id| quarantine.crashes(id) != 3).count();
    expect_that!(forgotten, eq(0));
}
