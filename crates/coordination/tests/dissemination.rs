//! How fast a new version is everywhere, and for how many bytes, in virtual time.
//!
//! In-memory processes in three zones, one millisecond apart, run the machines of the library. The
//! four ways compared: questions to the parent alone; with versions that piggyback on ordinary messages;
//! with news pushed to the children; with both. Once without faults, once with one push in ten lost
//! and one process in twenty dead but still listed.

use std::cmp::Reverse;
use std::collections;
use std::time::Duration;

use azuregap_coordination::dissemination;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use tokio::time;

const MS: Duration = Duration::from_millis(1);
/// Answer time of the table service.
const READ: Duration = Duration::from_millis(5);
/// When a question to a dead process is given up.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes of a question, an answer or a push, with the framing of the transport.
const MESSAGE: u64 = 60;
/// Bytes of a version on an ordinary message.
const PIGGYBACK: u64 = 8;
/// Time between two ordinary messages of a process.
const TRAFFIC: Duration = Duration::from_millis(50);
const ACCEPTED: Duration = Duration::from_secs(3);
const END: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug)]
struct Way {
    push: bool,
    piggyback: bool,
    faults: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Tick,
    Send,
    Question { from: usize },
    Answer { version: u64, age: Duration, asked: Duration },
    Push { from: usize, version: u64 },
    Piggyback { from: usize, version: u64 },
    Failure,
    Accept,
}

struct Process {
    spread: dissemination::Disseminator,
    dead: bool,
    version: u64,
    proved: Duration,
    neighbours: Vec<usize>,
}

struct Run {
    way: Way,
    start: time::Instant,
    rng: rand_chacha::ChaCha8Rng,
    queue: collections::BinaryHeap<Reverse<(Duration, usize, Happening)>>,
    all: Vec<Process>,
    newest: u64,
    bytes: u64,
    reads: u64,
    oldest: Duration,
    done: Duration,
}

fn name(index: usize) -> String {
    format!("p{index}")
}

fn zone(index: usize) -> String {
    format!("zone-{index}")
}

impl Run {
    fn new(count: usize, way: Way, seed: u64) -> Self {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let rules = dissemination::RelayOptions::new();
        let process = |index: usize| {
            let names: Vec<_> = (index % 3..count).step_by(3).map(name).collect();
            let members = names.iter().map(String::as_str);
            let place = dissemination::TreePosition::compute(
                &name(index),
                &zone(index % 3),
                members,
                &rules,
            );
            let mut spread = dissemination::Disseminator::new(&rules, seed * 10_000 + index as u64);
            spread.set_position(place);
            Process {
                spread,
                dead: way.faults && index > 0 && rng.random_bool(0.05),
                version: 0,
                proved: Duration::ZERO,
                neighbours: (0..8).map(|_| rng.random_range(0..count)).collect(),
            }
        };
        let all = (0..count).map(process).collect();
        let mut run = Self {
            way,
            start: time::Instant::now(),
            rng,
            queue: collections::BinaryHeap::new(),
            all,
            newest: 1,
            bytes: 0,
            reads: 0,
            oldest: Duration::ZERO,
            done: Duration::ZERO,
        };
        for index in 0..count {
            let first = run.rng.random_range(Duration::ZERO..Duration::from_secs(1));
            run.queue.push(Reverse((first, index, Happening::Tick)));
            run.queue.push(Reverse((ACCEPTED - 50 * MS + first / 20, index, Happening::Send)));
        }
        run.queue.push(Reverse((ACCEPTED, 0, Happening::Accept)));
        run
    }

    fn post(&mut self, at: Duration, to: usize, happening: Happening) {
        self.queue.push(Reverse((at, to, happening)));
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((now, index, happening))) = self.queue.pop() {
            if now > END {
                break;
            }
            if !self.all[index].dead {
                self.happen(now, index, happening);
            }
        }
        self
    }

    fn count(&mut self, now: Duration, bytes: u64) {
        if now >= ACCEPTED {
            self.bytes += bytes;
        }
    }

    fn happen(&mut self, now: Duration, index: usize, happening: Happening) {
        match happening {
            Happening::Tick => self.feed(now, index, dissemination::Event::Tick),
            Happening::Failure => self.feed(now, index, dissemination::Event::Failed),
            Happening::Send => {
                let turn = self.rng.random_range(0..self.all[index].neighbours.len());
                let to = self.all[index].neighbours[turn];
                let version = self.all[index].version;
                if self.way.piggyback {
                    self.count(now, PIGGYBACK);
                    self.post(now + MS, to, Happening::Piggyback { from: index, version });
                }
                self.post(now + TRAFFIC, index, Happening::Send);
            }
            Happening::Question { from } => {
                let Process { version, proved, .. } = self.all[index];
                let age = now - proved;
                self.count(now, MESSAGE);
                let asked = now - MS;
                self.post(now + MS, from, Happening::Answer { version, age, asked });
            }
            Happening::Answer { version, age, asked } => {
                let proved = asked.saturating_sub(age);
                if version >= self.all[index].version {
                    self.all[index].proved = self.all[index].proved.max(proved);
                }
                self.take(now, index, version);
                self.feed(now, index, dissemination::Event::Answered);
            }
            Happening::Push { from, version } | Happening::Piggyback { from, version } => {
                let event = dissemination::Event::PeerVersion { from: name(from), version };
                self.feed(now, index, event);
            }
            Happening::Accept => {
                self.newest = 2;
                self.take(now, index, 2);
                if self.way.push {
                    self.tell_readers(now, index);
                }
            }
        }
    }

    /// Who accepts a change tells the readers of every zone.
    fn tell_readers(&mut self, now: Duration, index: usize) {
        let rules = dissemination::RelayOptions::new();
        for number in 0..3 {
            let names: Vec<_> = (number..self.all.len()).step_by(3).map(name).collect();
            let members = names.iter().map(String::as_str);
            for reader in dissemination::TreePosition::readers(&zone(number), members, &rules) {
                self.push(now, index, reader);
            }
        }
    }

    fn push(&mut self, now: Duration, from: usize, to: &str) {
        let lost = self.way.faults && self.rng.random_bool(0.1);
        self.count(now, MESSAGE);
        if !lost {
            let version = self.all[from].version;
            self.post(now + MS, to[1..].parse().unwrap(), Happening::Push { from, version });
        }
    }

    fn take(&mut self, now: Duration, index: usize, version: u64) {
        if version > self.all[index].version {
            self.all[index].version = version;
            if version == 2 {
                self.done = now;
            }
            self.feed(now, index, dissemination::Event::Applied(version));
        }
    }

    fn feed(&mut self, now: Duration, index: usize, event: dissemination::Event) {
        if now > ACCEPTED {
            self.oldest = self.oldest.max(now - self.all[index].proved);
        }
        for action in self.all[index].spread.handle(event, self.start + now) {
            match action {
                dissemination::Action::Wait(until) => {
                    self.post(until - self.start, index, Happening::Tick);
                }
                dissemination::Action::Read => {
                    self.reads += u64::from(now >= ACCEPTED);
                    let (version, age) = (self.newest, Duration::ZERO);
                    self.post(now + READ, index, Happening::Answer { version, age, asked: now });
                }
                dissemination::Action::Query(to) => {
                    self.count(now, MESSAGE);
                    let to = to[1..].parse::<usize>().unwrap();
                    match self.all[to].dead {
                        true => self.post(now + TIMEOUT, index, Happening::Failure),
                        false => self.post(now + MS, to, Happening::Question { from: index }),
                    }
                }
                dissemination::Action::Notify(to) if self.way.push => self.push(now, index, &to),
                dissemination::Action::Notify(_) => {}
            }
        }
    }
}

/// Median and longest time to everywhere, bytes per process and second, reads per second and the
/// oldest proof of freshness, over a few seeds.
fn measure(count: usize, way: Way) -> String {
    let mut times = Vec::new();
    let (mut bytes, mut reads, mut oldest) = (0, 0, Duration::ZERO);
    let seeds = if count > 100 { 2 } else { 10 };
    for seed in 0..seeds {
        let run = Run::new(count, way, seed).run();
        let level = run.all.iter().all(|process| process.dead || process.version == 2);
        expect_that!(level, eq(true), "{count} {way:?} {seed}");
        times.push((run.done - ACCEPTED).as_millis());
        bytes += run.bytes;
        reads += run.reads;
        oldest = oldest.max(run.oldest);
    }
    times.sort_unstable();
    // In force everywhere within seconds, and no proof too old for keyed requests.
    expect_that!(times.last(), some(le(&5000)));
    expect_that!(oldest, le(azuregap_coordination::configuration::FreshnessOptions::MAX_STALENESS));
    let seconds = (END - ACCEPTED).as_secs() * seeds;
    format!(
        "{count:>5} {:>5} {:>5} {:>5} | {:>5} {:>5} ms | {:>4} B/s | {:>3} reads/s | {:>4} ms",
        way.push,
        way.piggyback,
        way.faults,
        times[times.len() / 2],
        times[times.len() - 1],
        bytes / seconds / count as u64,
        reads / seconds,
        oldest.as_millis(),
    )
}

#[gtest]
fn the_tree_spans_the_zone() {
    let rules = dissemination::RelayOptions::new().readers(2).fan_out(3);
    for count in 1..60 {
        let names: Vec<_> = (0..count).map(name).collect();
        let members = || names.iter().map(String::as_str);
        let place =
            |node: &str| dissemination::TreePosition::compute(node, "zone", members(), &rules);
        let readers = dissemination::TreePosition::readers("zone", members(), &rules);
        let mut reached: Vec<_> = readers.iter().map(|&reader| reader.to_owned()).collect();
        let mut index = 0;
        while let Some(node) = reached.get(index).cloned() {
            for child in place(&node).children {
                expect_that!(place(&child).sources.first(), some(eq(&node)));
                reached.push(child);
            }
            index += 1;
        }
        reached.sort_unstable();
        let mut sorted = names.clone();
        sorted.sort_unstable();
        expect_that!(reached, eq(&sorted));
    }
}

#[gtest]
fn a_process_whose_sources_are_silent_reads_by_itself() {
    let start = time::Instant::now();
    let mut spread = dissemination::Disseminator::new(&dissemination::RelayOptions::new(), 1);
    let sources = ["parent", "reader"].map(str::to_owned).into_iter().collect();
    spread.set_position(dissemination::TreePosition {
        is_reader: false,
        sources,
        children: Vec::new(),
    });
    let first = spread.handle(dissemination::Event::Tick, start);
    expect_that!(first[..], elements_are![eq(&dissemination::Action::Query("parent".into()))]);
    let second = spread.handle(dissemination::Event::Failed, start);
    expect_that!(second[..], elements_are![eq(&dissemination::Action::Query("reader".into()))]);
    let third = spread.handle(dissemination::Event::Failed, start);
    expect_that!(third[..], elements_are![eq(&dissemination::Action::Read)]);
    let fourth = spread.handle(dissemination::Event::Failed, start);
    expect_that!(fourth[..], elements_are![pat!(dissemination::Action::Wait(gt(&start)))]);
}

#[gtest]
fn time_to_everywhere_and_bytes() {
    let mut lines =
        vec!["count  push piggy fault | median longest  | bytes | reads | proof".to_owned()];
    for faults in [false, true] {
        for count in [2, 4, 16, 64, 1024] {
            for (push, piggyback) in [(false, false), (false, true), (true, false), (true, true)] {
                lines.push(measure(count, Way { push, piggyback, faults }));
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}
