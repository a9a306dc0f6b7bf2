//! The event loop: virtual time, reports and faults.

use std::cmp;
use std::collections;
use std::time::Duration;

use azuregap_core::refusal;
use azuregap_policy::balancer;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use tokio::time;

use super::agent;
use super::entry;
use super::request;
use crate::deployment;
use crate::scenario;
use crate::system;
use crate::workload;

/// Time between two heartbeats on a running answer.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Time between two load reports of the engines themselves.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// How late such a report comes.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// An event.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller's request comes to its entry, or comes back to it for a retry.
    Send(usize),
    /// A request comes to an agent.
    Offer { id: usize, agent: usize },
    /// An agent took a request.
    Accepted { id: usize, agent: usize, load: balancer::Load },
    /// An agent turned a request away.
    Refused { id: usize, agent: usize, refusal: refusal::Refusal, load: balancer::Load },
    /// An answer came to its end at the entry.
    Ended { id: usize, agent: usize, load: balancer::Load },
    /// An answer broke off at the entry.
    Broken { id: usize, agent: usize },
    /// Something happens in an engine, unless the epoch is old.
    Wake { agent: usize, epoch: u64 },
    /// A request's deadline passes.
    Deadline(usize),
    /// Heartbeats come to the entries.
    Heartbeat,
    /// The engines publish their load.
    Publish,
    /// A published load comes to the entries.
    Published(Vec<balancer::Load>),
    /// The straggler becomes slow.
    Slow,
    /// An engine crashes.
    Crash,
    /// An engine is back.
    Restart(usize),
}

/// A simulation of one system under one scenario.
pub(super) struct Simulation<'a> {
    pub(super) deployment: &'a deployment::Deployment,
    pub(super) arrivals: &'a [workload::Arrival],
    pub(super) now: Duration,
    pub(super) base: time::Instant,
    pub(super) entries: Vec<entry::Entry>,
    pub(super) agents: Vec<agent::Agent>,
    pub(super) requests: Vec<request::Request>,
    pub(super) running: collections::BTreeSet<usize>,
    pub(super) hits: u64,
    pub(super) lookups: u64,
    scenario: scenario::Scenario,
    events: collections::BTreeMap<(Duration, u64), Event>,
    pushed: u64,
    rng: ChaCha8Rng,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(
        deployment: &'a deployment::Deployment,
        scenario: scenario::Scenario,
        system: system::System,
        arrivals: &'a [workload::Arrival],
        seed: u64,
    ) -> Self {
        let base = time::Instant::now();
        let mut agents = Vec::new();
        for (i, pool) in deployment.pools.iter().enumerate() {
            let numbers = 0..pool.replicas;
            let ordering = system.ordering;
            agents.extend(numbers.map(|n| agent::Agent::new(deployment, i, n, ordering, base)));
        }
        let entries = (0..deployment.zones.len())
            .map(|n| entry::Entry::new(deployment, n, system.routing, &agents, seed, base));
        Self {
            deployment,
            arrivals,
            now: Duration::ZERO,
            base,
            entries: entries.collect(),
            agents,
            requests: vec![request::Request::new(); arrivals.len()],
            running: collections::BTreeSet::new(),
            hits: 0,
            lookups: 0,
            scenario,
            events: collections::BTreeMap::new(),
            pushed: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Runs until every request has ended.
    pub(super) fn run(mut self) -> super::Outcome {
        for (id, arrival) in self.arrivals.iter().enumerate() {
            self.push(arrival.at, Event::Send(id));
            self.push(self.deadline(id), Event::Deadline(id));
        }
        self.push(HEARTBEAT, Event::Heartbeat);
        self.push(REPORT_INTERVAL, Event::Publish);
        match self.scenario {
            scenario if scenario.has_straggler() => self.push(scenario::FROM, Event::Slow),
            scenario::Scenario::Crash => self.push(scenario::CRASH_INTERVAL, Event::Crash),
            _ => {}
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = cmp::max(self.now, at);
            self.handle(event);
        }
        let agents = self.agents.into_iter().filter(|agent| agent.pool == 0);
        super::Outcome {
            requests: self.requests,
            dispatches: agents.map(|agent| agent.log).collect(),
            hits: self.hits,
            lookups: self.lookups,
        }
    }

    pub(super) fn push(&mut self, at: Duration, event: Event) {
        self.pushed += 1;
        self.events.insert((at, self.pushed), event);
    }

    /// When the answer must be whole.
    pub(super) fn deadline(&self, id: usize) -> Duration {
        let arrival = &self.arrivals[id];
        arrival.at + self.deployment.work[arrival.class].class.deadline
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send(id) => self.send(id),
            Event::Offer { id, agent } => self.offer(id, agent),
            Event::Accepted { id, agent, load } => self.accepted(id, agent, load),
            Event::Refused { id, agent, refusal, load } => self.refused(id, agent, refusal, load),
            Event::Ended { id, agent, load } => self.ended(id, agent, load),
            Event::Broken { id, agent } => self.broken(id, agent),
            Event::Wake { agent, epoch } if epoch == self.agents[agent].epoch => self.touch(agent),
            Event::Wake { .. } => {}
            Event::Deadline(id) => self.give_up(id),
            Event::Heartbeat => self.heartbeat(),
            Event::Publish => self.publish(),
            Event::Published(loads) => {
                self.entries.iter_mut().for_each(|entry| entry.reports.clone_from(&loads));
            }
            Event::Slow => {
                self.touch(0);
                self.agents[0].engine.slow = scenario::STRAGGLER;
                self.touch(0);
            }
            Event::Crash => self.crash_one(),
            Event::Restart(agent) => self.agents[agent].engine.up = true,
        }
    }

    fn heartbeat(&mut self) {
        (0..self.agents.len()).for_each(|agent| self.touch(agent));
        for id in self.running.clone() {
            self.progress(id);
        }
        if self.now < scenario::LENGTH {
            self.push(self.now + HEARTBEAT, Event::Heartbeat);
        }
    }

    fn progress(&mut self, id: usize) {
        let Some(agent) = self.requests[id].agent else { return };
        let entry = self.arrivals[id].entry;
        let load = self.agents[agent].load();
        self.entries[entry].report(self.now, &self.agents[agent], load);
        let Some(left) = self.agents[agent].engine.left(id) else { return };
        let generated = self.arrivals[id].output - left;
        let observed = std::mem::replace(&mut self.requests[id].observed, generated);
        if observed >= 0.0 {
            let tokens = (generated - observed).round() as u32;
            let seen = balancer::Observation::Progress { tokens, elapsed: HEARTBEAT };
            self.entries[entry].observe(self.now, &self.agents[agent], seen);
        }
    }

    fn publish(&mut self) {
        let loads = self.agents.iter().map(agent::Agent::load).collect();
        self.push(self.now + REPORT_LAG, Event::Published(loads));
        if self.now < scenario::LENGTH {
            self.push(self.now + REPORT_INTERVAL, Event::Publish);
        }
    }

    fn crash_one(&mut self) {
        let agent = self.rng.random_range(0..self.deployment.pools[0].replicas);
        self.crash(agent);
        self.push(self.now + scenario::RESTART, Event::Restart(agent));
        let next = self.now + scenario::CRASH_INTERVAL;
        if next < scenario::LENGTH {
            self.push(next, Event::Crash);
        }
    }
}
