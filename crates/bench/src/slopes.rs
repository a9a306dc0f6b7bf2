//! State and cost of the policy, as slopes for the capacity page.
//!
//! State is the growth of the process's resident memory while many items are added, so it includes
//! what the allocator adds. Cost is wall-clock time; both differ between machines and runs and are
//! reported without a verdict.

mod control;
mod members;
mod memory;
mod snapshot;

use std::hint;

use azuregap_core::intent;
use azuregap_policy::balancer;
use azuregap_policy::limits;
use azuregap_policy::queue;
use azuregap_policy::retry;
use azuregap_wire::codec;
use azuregap_wire::frame;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use serde::Serialize;
use tokio::time;

/// Items added to measure the state of one.
const ITEMS: usize = 200_000;

/// Operations timed together.
const BATCH: u32 = 1000;

/// Batches of which the median is taken.
const BATCHES: usize = 101;

/// One slope.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Slope {
    /// What is measured.
    pub name: &'static str,
    /// Items in place.
    pub count: usize,
    /// The value for one item or one operation.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

/// Measures every slope; call it before anything else has used much memory.
#[must_use]
pub fn all() -> Vec<Slope> {
    let (record, records) = control::state();
    let (mut slopes, snapshots) = snapshot::states();
    let (members, held) = members::states();
    slopes.extend(members);
    let (team, queue) = state("fair share of a team at an agent", queue_with_teams);
    let (limit, limits) = state("limits of a team at an entry", limits_with_teams);
    let (budget, budgets) = state("retry budget of a team at an entry", budgets_with_teams);
    let (replica, chooser) = state("replica at an entry", chooser_with);
    let (waiting, full) = state("waiting request without its body", queue_with_waiting);
    drop((queue, limits, budgets, chooser, full, records, snapshots, held));
    slopes.extend([record, team, limit, budget, replica, waiting]);
    slopes.extend([10, 100, 1000, 9200].map(admission));
    slopes.extend([9, 40, 320].map(choice));
    slopes.extend(message("heartbeat frame of a running answer", &heartbeat()));
    slopes.extend(message("end frame of an answer", &end()));
    slopes.extend(snapshot::slopes());
    slopes.extend(members::slopes());
    slopes.extend(control::slopes());
    slopes
}

/// Measures the state of one item, and hands out what was built so that no memory is used twice.
fn state<T>(name: &'static str, build: impl Fn(usize) -> T) -> (Slope, T) {
    let before = memory::resident();
    let held = hint::black_box(build(ITEMS));
    let grown = memory::resident().saturating_sub(before);
    let value = grown as f64 / ITEMS as f64;
    (Slope { name, count: ITEMS, value, unit: "bytes" }, held)
}

fn team(number: usize) -> String {
    format!("team-{number}")
}

fn queue_with_teams(count: usize) -> queue::Queue<()> {
    let mut queue = queue::Queue::new(queue::Limits::new(1, 1));
    let now = time::Instant::now();
    for number in 0..count {
        let id = number as u128;
        let _ = queue.offer(now, queue::Job::new(id, "chat", team(number)).cost(500), ());
        queue.finish(id, 500, now);
    }
    queue
}

fn limits_with_teams(count: usize) -> limits::TeamLimiter {
    let declared = (0..count).map(|number| intent::Team {
        name: team(number),
        weight: 1,
        rate: Some(10),
        concurrency: Some(10),
    });
    let now = time::Instant::now();
    let mut limits = limits::TeamLimiter::default();
    for declared in declared.collect::<Vec<_>>().chunks(count.max(1)) {
        limits.set_teams(declared);
    }
    for number in 0..count {
        let _ = limits.admit(&team(number), now);
    }
    limits
}

fn budgets_with_teams(count: usize) -> retry::TeamBudgets {
    let mut budgets = retry::TeamBudgets::new();
    for number in 0..count {
        budgets.team(&team(number));
    }
    budgets
}

fn chooser_with(count: usize) -> balancer::Balancer {
    let zones = ["perth-north", "perth-east", "perth-south"];
    let replica = |i: usize| balancer::Replica::new(format!("agent-{i}"), zones[i % 3], 16);
    let mut chooser = balancer::Balancer::new(zones[0]);
    chooser.set_replicas((0..count).map(replica));
    chooser
}

fn queue_with_waiting(count: usize) -> queue::Queue<()> {
    let mut queue = queue::Queue::new(queue::Limits::new(1, count as u32));
    let now = time::Instant::now();
    let deadline = now + std::time::Duration::from_secs(60);
    for id in 0..=count as u128 {
        let job = queue::Job::new(id, "chat", "team-1").cost(500).deadline(deadline);
        let _ = queue.offer(now, job, ());
    }
    queue
}

/// A full queue in which each of `teams` asks in turn: one offer, one end and one start.
#[derive(Debug)]
pub struct Admission {
    queue: queue::Queue<()>,
    teams: Vec<String>,
    running: u128,
    issued: u128,
    now: time::Instant,
}

impl Admission {
    /// A queue with work waiting.
    #[must_use]
    pub fn new(teams: usize) -> Self {
        let mut this = Self {
            queue: queue::Queue::new(queue::Limits::new(1, 64)),
            teams: (0..teams).map(team).collect(),
            running: 1,
            issued: 0,
            now: time::Instant::now(),
        };
        (0..2 * teams.max(64)).for_each(|_| this.offer());
        this
    }

    /// One admission with the end and the start that make room for it.
    pub fn step(&mut self) {
        self.offer();
        self.queue.finish(self.running, 500, self.now);
        if let Some(started) = self.queue.start_next(self.now) {
            self.running = started.job.id;
        }
    }

    fn offer(&mut self) {
        self.issued += 1;
        let team = self.teams[self.issued as usize % self.teams.len()].clone();
        let job = queue::Job::new(self.issued, "chat", team).cost(500);
        hint::black_box(self.queue.offer(self.now, job, ()));
    }
}

/// A chooser among some replicas that all report load.
#[derive(Debug)]
pub struct Choosing {
    chooser: balancer::Balancer,
    rng: ChaCha8Rng,
    now: time::Instant,
    prefix: u64,
}

impl Choosing {
    /// A chooser among `replicas`.
    #[must_use]
    pub fn new(replicas: usize) -> Self {
        let mut chooser = chooser_with(replicas);
        let now = time::Instant::now();
        for i in 0..replicas {
            let load = balancer::Load { running: i as u32 % 16, waiting: 0, slots: 16, backlog: 0 };
            chooser.report(&format!("agent-{i}"), load, now);
        }
        Self { chooser, rng: ChaCha8Rng::seed_from_u64(1), now, prefix: 0 }
    }

    /// One choice, and the answer that takes it back.
    pub fn step(&mut self) {
        self.prefix = self.prefix.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let request = balancer::Request::new().prefix(self.prefix);
        if let Ok(chosen) = self.chooser.select(self.now, &request, &mut self.rng) {
            self.chooser.observe(&chosen.node, balancer::Observation::Refused, self.now);
        }
    }
}

fn admission(teams: usize) -> Slope {
    let mut admission = Admission::new(teams);
    let value = median(|| admission.step());
    Slope { name: "admission, with an end and a start, by teams", count: teams, value, unit: "ns" }
}

fn choice(replicas: usize) -> Slope {
    let mut choosing = Choosing::new(replicas);
    let value = median(|| choosing.step());
    Slope { name: "choice, with its answer, by replicas", count: replicas, value, unit: "ns" }
}

fn heartbeat() -> frame::Frame {
    frame::Frame::Heartbeat { load: load() }
}

fn end() -> frame::Frame {
    let usage = frame::Usage { requests: 1, prompt: 1800, output: 220 };
    frame::Frame::End { length: 1200, usage, load: load() }
}

const fn load() -> frame::Load {
    frame::Load { running: 16, waiting: 2, slots: 16, backlog: 2400 }
}

/// Size of a frame, and the time to write and read it.
fn message(name: &'static str, frame: &frame::Frame) -> [Slope; 2] {
    let size = codec::write_frame(frame).map_or(0, |bytes| bytes.len());
    let value = median(|| {
        let bytes = codec::write_frame(frame).unwrap_or_default();
        let mut reader = codec::FrameReader::default();
        reader.push(&bytes);
        let _ = hint::black_box(reader.next_frame());
    });
    let bytes = Slope { name, count: 1, value: size as f64, unit: "bytes" };
    [bytes, Slope { name, count: 1, value, unit: "ns to write and read" }]
}

/// Median time of a step in nanoseconds.
fn median(mut step: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..BATCHES)
        .map(|_| {
            let start = time::Instant::now();
            (0..BATCH).for_each(|_| step());
            start.elapsed().as_secs_f64() * 1e9 / f64::from(BATCH)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[BATCHES / 2]
}
