//! Simulation of the latency and the traffic of version dissemination, in virtual time.
//!
//! The processes are in three zones, with a latency of one millisecond between any two. Four
//! strategies are compared: queries to the parent only, with versions piggybacked on ordinary
//! messages, with notifications pushed to the children, and with both. Each runs once without
//! faults, and once with one push in ten lost and one process in twenty dead but still listed.

use std::cmp::Reverse;
use std::collections;
use std::time::Duration;

use azuregap_coordination::dissemination;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use tokio::time;

const MS: Duration = Duration::from_millis(1);
/// Response time of the table service.
const READ: Duration = Duration::from_millis(5);
/// Timeout of a query to a dead process.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Size of a query, a response or a push in bytes, including the framing of the transport.
const MESSAGE: u64 = 60;
/// Size of a version piggybacked on an ordinary message, in bytes.
const PIGGYBACK: u64 = 8;
/// Interval between ordinary messages of a process.
const TRAFFIC: Duration = Duration::from_millis(50);
const ACCEPT_AT: Duration = Duration::from_secs(3);
const END_AT: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug)]
struct Strategy {
    push: bool,
    piggyback: bool,
    faults: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Tick,
    Send,
    Query { from: usize },
    Response { version: u64, age: Duration, sent_at: Duration },
    Push { from: usize, version: u64 },
    Piggyback { from: usize, version: u64 },
    Timeout,
    Accept,
}

struct Process {
    disseminator: dissemination::Disseminator,
    dead: bool,
    version: u64,
    fresh_at: Duration,
    neighbours: Vec<usize>,
}

struct Simulation {
    strategy: Strategy,
    start: time::Instant,
    rng: rand_chacha::ChaCha8Rng,
    queue: collections::BinaryHeap<Reverse<(Duration, usize, SimEvent)>>,
    processes: Vec<Process>,
    latest: u64,
    bytes: u64,
    reads: u64,
    max_age: Duration,
    done_at: Duration,
}

fn name(index: usize) -> String {
    format!("p{index}")
}

fn zone(index: usize) -> String {
    format!("zone-{index}")
}

impl Simulation {
    fn new(count: usize, strategy: Strategy, seed: u64) -> Self {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let options = dissemination::RelayOptions::new();
        let process = |index: usize| {
            let names: Vec<_> = (index % 3..count).step_by(3).map(name).collect();
            let members = names.iter().map(String::as_str);
            let position = dissemination::TreePosition::compute(
                &name(index),
                &zone(index % 3),
                members,
                &options,
            );
            let mut disseminator =
                dissemination::Disseminator::new(&options, seed * 10_000 + index as u64);
            disseminator.set_position(position);
            Process {
                disseminator,
                dead: strategy.faults && index > 0 && rng.random_bool(0.05),
                version: 0,
                fresh_at: Duration::ZERO,
                neighbours: (0..8).map(|_| rng.random_range(0..count)).collect(),
            }
        };
        let processes = (0..count).map(process).collect();
        let mut run = Self {
            strategy,
            start: time::Instant::now(),
            rng,
            queue: collections::BinaryHeap::new(),
            processes,
            latest: 1,
            bytes: 0,
            reads: 0,
            max_age: Duration::ZERO,
            done_at: Duration::ZERO,
        };
        for index in 0..count {
            let first = run.rng.random_range(Duration::ZERO..Duration::from_secs(1));
            run.queue.push(Reverse((first, index, SimEvent::Tick)));
            run.queue.push(Reverse((ACCEPT_AT - 50 * MS + first / 20, index, SimEvent::Send)));
        }
        run.queue.push(Reverse((ACCEPT_AT, 0, SimEvent::Accept)));
        run
    }

    fn schedule(&mut self, at: Duration, to: usize, event: SimEvent) {
        self.queue.push(Reverse((at, to, event)));
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((now, index, event))) = self.queue.pop() {
            if now > END_AT {
                break;
            }
            if !self.processes[index].dead {
                self.handle(now, index, event);
            }
        }
        self
    }

    fn count(&mut self, now: Duration, bytes: u64) {
        if now >= ACCEPT_AT {
            self.bytes += bytes;
        }
    }

    fn handle(&mut self, now: Duration, index: usize, event: SimEvent) {
        match event {
            SimEvent::Tick => self.feed(now, index, dissemination::Event::Tick),
            SimEvent::Timeout => self.feed(now, index, dissemination::Event::Failed),
            SimEvent::Send => {
                let turn = self.rng.random_range(0..self.processes[index].neighbours.len());
                let to = self.processes[index].neighbours[turn];
                let version = self.processes[index].version;
                if self.strategy.piggyback {
                    self.count(now, PIGGYBACK);
                    self.schedule(now + MS, to, SimEvent::Piggyback { from: index, version });
                }
                self.schedule(now + TRAFFIC, index, SimEvent::Send);
            }
            SimEvent::Query { from } => {
                let Process { version, fresh_at, .. } = self.processes[index];
                let age = now - fresh_at;
                self.count(now, MESSAGE);
                let sent_at = now - MS;
                self.schedule(now + MS, from, SimEvent::Response { version, age, sent_at });
            }
            SimEvent::Response { version, age, sent_at } => {
                let fresh_at = sent_at.saturating_sub(age);
                if version >= self.processes[index].version {
                    self.processes[index].fresh_at = self.processes[index].fresh_at.max(fresh_at);
                }
                self.apply(now, index, version);
                self.feed(now, index, dissemination::Event::Answered);
            }
            SimEvent::Push { from, version } | SimEvent::Piggyback { from, version } => {
                let event = dissemination::Event::PeerVersion { from: name(from), version };
                self.feed(now, index, event);
            }
            SimEvent::Accept => {
                self.latest = 2;
                self.apply(now, index, 2);
                if self.strategy.push {
                    self.notify_readers(now, index);
                }
            }
        }
    }

    /// Notifies the readers of every zone of an accepted change.
    fn notify_readers(&mut self, now: Duration, index: usize) {
        let options = dissemination::RelayOptions::new();
        for number in 0..3 {
            let names: Vec<_> = (number..self.processes.len()).step_by(3).map(name).collect();
            let members = names.iter().map(String::as_str);
            for reader in dissemination::TreePosition::readers(&zone(number), members, &options) {
                self.push(now, index, reader);
            }
        }
    }

    fn push(&mut self, now: Duration, from: usize, to: &str) {
        let lost = self.strategy.faults && self.rng.random_bool(0.1);
        self.count(now, MESSAGE);
        if !lost {
            let version = self.processes[from].version;
            self.schedule(now + MS, to[1..].parse().unwrap(), SimEvent::Push { from, version });
        }
    }

    fn apply(&mut self, now: Duration, index: usize, version: u64) {
        if version > self.processes[index].version {
            self.processes[index].version = version;
            if version == 2 {
                self.done_at = now;
            }
            self.feed(now, index, dissemination::Event::Applied(version));
        }
    }

    fn feed(&mut self, now: Duration, index: usize, event: dissemination::Event) {
        if now > ACCEPT_AT {
            self.max_age = self.max_age.max(now - self.processes[index].fresh_at);
        }
        for action in self.processes[index].disseminator.handle(event, self.start + now) {
            match action {
                dissemination::Action::Wait(until) => {
                    self.schedule(until - self.start, index, SimEvent::Tick);
                }
                dissemination::Action::Read => {
                    self.reads += u64::from(now >= ACCEPT_AT);
                    let (version, age) = (self.latest, Duration::ZERO);
                    self.schedule(
                        now + READ,
                        index,
                        SimEvent::Response { version, age, sent_at: now },
                    );
                }
                dissemination::Action::Query(to) => {
                    self.count(now, MESSAGE);
                    let to = to[1..].parse::<usize>().unwrap();
                    match self.processes[to].dead {
                        true => self.schedule(now + TIMEOUT, index, SimEvent::Timeout),
                        false => self.schedule(now + MS, to, SimEvent::Query { from: index }),
                    }
                }
                dissemination::Action::Notify(to) if self.strategy.push => {
                    self.push(now, index, &to);
                }
                dissemination::Action::Notify(_) => {}
            }
        }
    }
}

/// Median and maximum time until every process has the new version, bytes per process and second,
/// reads per second, and maximum age of the proof of freshness, over several seeds.
fn measure(count: usize, strategy: Strategy) -> String {
    let mut times = Vec::new();
    let (mut bytes, mut reads, mut max_age) = (0, 0, Duration::ZERO);
    let seeds = if count > 100 { 2 } else { 10 };
    for seed in 0..seeds {
        let run = Simulation::new(count, strategy, seed).run();
        let converged = run.processes.iter().all(|process| process.dead || process.version == 2);
        expect_that!(converged, eq(true), "{count} processes, {strategy:?}, seed {seed}");
        times.push((run.done_at - ACCEPT_AT).as_millis());
        bytes += run.bytes;
        reads += run.reads;
        max_age = max_age.max(run.max_age);
    }
    times.sort_unstable();
    // Every process has the version within seconds, and no proof is too old for serving requests.
    expect_that!(times.last(), some(le(&5000)));
    expect_that!(
        max_age,
        le(azuregap_coordination::configuration::FreshnessOptions::MAX_STALENESS)
    );
    let seconds = (END_AT - ACCEPT_AT).as_secs() * seeds;
    format!(
        "{count:>5} {:>5} {:>5} {:>5} | {:>5} {:>5} ms | {:>4} B/s | {:>3} reads/s | {:>4} ms",
        strategy.push,
        strategy.piggyback,
        strategy.faults,
        times[times.len() / 2],
        times[times.len() - 1],
        bytes / seconds / count as u64,
        reads / seconds,
        max_age.as_millis(),
    )
}

#[gtest]
fn relay_tree_reaches_every_member() {
    let options = dissemination::RelayOptions::new().readers(2).fan_out(3);
    for count in 1..60 {
        let names: Vec<_> = (0..count).map(name).collect();
        let members = || names.iter().map(String::as_str);
        let position =
            |node: &str| dissemination::TreePosition::compute(node, "zone", members(), &options);
        let readers = dissemination::TreePosition::readers("zone", members(), &options);
        let mut reached: Vec<_> = readers.iter().map(|&reader| reader.to_owned()).collect();
        let mut index = 0;
        while let Some(node) = reached.get(index).cloned() {
            for child in position(&node).children {
                expect_that!(position(&child).sources.first(), some(eq(&node)));
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
fn process_reads_the_store_when_all_sources_fail() {
    let start = time::Instant::now();
    let mut disseminator = dissemination::Disseminator::new(&dissemination::RelayOptions::new(), 1);
    let sources = ["parent", "reader"].map(str::to_owned).into_iter().collect();
    disseminator.set_position(dissemination::TreePosition {
        is_reader: false,
        sources,
        children: Vec::new(),
    });
    let first = disseminator.handle(dissemination::Event::Tick, start);
    expect_that!(first[..], elements_are![eq(&dissemination::Action::Query("parent".into()))]);
    let second = disseminator.handle(dissemination::Event::Failed, start);
    expect_that!(second[..], elements_are![eq(&dissemination::Action::Query("reader".into()))]);
    let third = disseminator.handle(dissemination::Event::Failed, start);
    expect_that!(third[..], elements_are![eq(&dissemination::Action::Read)]);
    let fourth = disseminator.handle(dissemination::Event::Failed, start);
    expect_that!(fourth[..], elements_are![pat!(dissemination::Action::Wait(gt(&start)))]);
}

#[gtest]
fn dissemination_latency_and_traffic() {
    let mut lines =
        vec!["count  push piggy fault | median longest  | bytes | reads | proof".to_owned()];
    for faults in [false, true] {
        for count in [2, 4, 16, 64, 1024] {
            for (push, piggyback) in [(false, false), (false, true), (true, false), (true, true)] {
                lines.push(measure(count, Strategy { push, piggyback, faults }));
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}
