//! An entry: the choice of a replica and the retry decision.

use std::time::Duration;

use azuregap_core::refusal;
use azuregap_policy::balancer;
use azuregap_policy::cost;
use azuregap_policy::retry;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use smallvec::SmallVec;
use tokio::time;

use super::agent;
use crate::deployment;
use crate::system;

/// Attempts of a router without a retry policy.
const PLAIN_ATTEMPTS: u32 = 3;

/// What an entry needs to know to send a request on.
#[derive(Clone, Debug)]
pub(super) struct Wanted {
    pub(super) pool: usize,
    pub(super) prefix: u64,
    pub(super) probe: bool,
    pub(super) tried: SmallVec<[usize; 3]>,
}

/// An entry.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) choosers: Vec<balancer::Balancer>,
    pub(super) estimator: cost::Estimator,
    pub(super) budgets: retry::TeamBudgets,
    /// Lagging reports, by agent.
    pub(super) reports: Vec<balancer::Load>,
    routing: system::Routing,
    turns: Vec<usize>,
    rng: ChaCha8Rng,
    base: time::Instant,
}

impl Entry {
    pub(super) fn new(
        deployment: &deployment::Deployment,
        number: usize,
        routing: system::Routing,
        agents: &[agent::Agent],
        seed: u64,
        base: time::Instant,
    ) -> Self {
        let replica =
            |agent: &agent::Agent| balancer::Replica::new(&*agent.name, agent.zone, agent.slots);
        let chooser = |pool| {
            let mut chooser = balancer::Balancer::new(deployment.zones[number]);
            chooser.set_replicas(agents.iter().filter(|agent| agent.pool == pool).map(replica));
            chooser
        };
        Self {
            choosers: (0..deployment.pools.len()).map(chooser).collect(),
            estimator: cost::Estimator::new(),
            budgets: retry::TeamBudgets::new(),
            reports: agents.iter().map(agent::Agent::load).collect(),
            routing,
            turns: vec![number; deployment.pools.len()],
            rng: ChaCha8Rng::seed_from_u64(seed * 1000 + number as u64),
            base,
        }
    }

    /// Position of the agent to send the request to, if there is one.
    pub(super) fn choose(
        &mut self,
        now: Duration,
        wanted: &Wanted,
        agents: &[agent::Agent],
    ) -> Option<usize> {
        match self.routing {
            system::Routing::Chooser => self.choose_by_policy(now, wanted, agents),
            system::Routing::RoundRobin => self.choose_in_turn(wanted, agents),
            system::Routing::LeastLoaded => self.choose_least_loaded(wanted, agents),
        }
    }

    /// Whether to try again, and after what time.
    pub(super) fn retry(
        &mut self,
        now: Duration,
        team: &str,
        attempt: retry::Attempt,
    ) -> Option<Duration> {
        if self.routing != system::Routing::Chooser {
            let again = attempt.refusal.not_run && attempt.count < PLAIN_ATTEMPTS;
            return again.then_some(Duration::ZERO);
        }
        match retry::decide(self.base + now, attempt, self.budgets.team(team)) {
            retry::Decision::Retry { after } => Some(after),
            retry::Decision::GiveUp { .. } => None,
        }
    }

    pub(super) fn observe(
        &mut self,
        now: Duration,
        agent: &agent::Agent,
        seen: balancer::Observation,
    ) {
        self.choosers[agent.pool].observe(&agent.name, seen, self.base + now);
    }

    pub(super) fn report(&mut self, now: Duration, agent: &agent::Agent, load: balancer::Load) {
        self.choosers[agent.pool].report(&agent.name, load, self.base + now);
    }

    fn choose_by_policy(
        &mut self,
        now: Duration,
        wanted: &Wanted,
        agents: &[agent::Agent],
    ) -> Option<usize> {
        let mut request = balancer::Request::new().prefix(wanted.prefix).may_probe(wanted.probe);
        request.avoid = wanted.tried.iter().map(|i| agents[*i].name.clone()).collect();
        let chooser = &mut self.choosers[wanted.pool];
        let choice = chooser.select(self.base + now, &request, &mut self.rng).ok()?;
        agents.iter().position(|agent| agent.name == choice.node)
    }

    fn choose_in_turn(&mut self, wanted: &Wanted, agents: &[agent::Agent]) -> Option<usize> {
        let pool = open(wanted, agents);
        self.turns[wanted.pool] += 1;
        (!pool.is_empty()).then(|| pool[self.turns[wanted.pool] % pool.len()])
    }

    fn choose_least_loaded(&mut self, wanted: &Wanted, agents: &[agent::Agent]) -> Option<usize> {
        let mut pool = open(wanted, agents);
        if pool.is_empty() {
            return None;
        }
        let turn = self.rng.random_range(0..pool.len());
        pool.rotate_left(turn);
        let load = |i: &usize| self.reports[*i].running + self.reports[*i].waiting;
        pool.into_iter().min_by_key(load)
    }
}

/// The agents of the pool that were not tried.
fn open(wanted: &Wanted, agents: &[agent::Agent]) -> Vec<usize> {
    let pool = (0..agents.len()).filter(|i| agents[*i].pool == wanted.pool);
    pool.filter(|i| !wanted.tried.contains(i)).collect()
}

/// An attempt as the retry decision sees it.
pub(super) fn attempt(
    base: time::Instant,
    deadline: Duration,
    count: u32,
    idempotent: bool,
    refusal: refusal::Refusal,
) -> retry::Attempt {
    retry::Attempt::new(base + deadline, refusal).count(count).idempotent(idempotent)
}
