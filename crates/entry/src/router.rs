//! What the jobs of one entry share: replica choice, team limits, retry budgets and estimates.
//!
//! The decisions are in `azuregap-policy`; this holds their state behind one lock and keeps it in
//! step with the configuration and the directory.

use std::collections;
use std::sync;

use azuregap_control::directory;
use azuregap_control::snapshot;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::refusal;
use azuregap_policy::balancer;
use azuregap_policy::cost;
use azuregap_policy::limits;
use azuregap_policy::retry;
use azuregap_wire::frame;
use tokio::time;

use crate::job;

/// Agents of one pool that an entry keeps in touch with.
const SUBSET: usize = 64;

#[derive(Debug, Default)]
struct State {
    version: ids::Version,
    agents: sync::Arc<Vec<directory::Agent>>,
    choosers: collections::HashMap<ids::PoolId, balancer::Balancer>,
    /// Lowest tier that comes to each pool.
    lowest: collections::HashMap<ids::PoolId, ids::Tier>,
    limits: limits::TeamLimiter,
    budgets: retry::TeamBudgets,
    estimator: cost::Estimator,
}

/// Decides for the jobs of one entry; clones share one state.
#[derive(Clone, Debug)]
pub struct Router {
    node: ids::NodeId,
    zone: ids::ZoneId,
    state: sync::Arc<sync::Mutex<State>>,
}

impl Router {
    /// A router for the entry `node` in `zone`.
    #[must_use]
    pub fn new(node: impl Into<ids::NodeId>, zone: impl Into<ids::ZoneId>) -> Self {
        Self { node: node.into(), zone: zone.into(), state: sync::Arc::default() }
    }

    /// Takes over what changed in the configuration and among the agents.
    pub fn follow(
        &self,
        configuration: &snapshot::Snapshot,
        agents: &sync::Arc<Vec<directory::Agent>>,
        entries: usize,
    ) {
        let mut state = self.lock();
        if state.version != configuration.version {
            state.version = configuration.version;
            state.limits.set_teams(&configuration.intent.teams);
        }
        if sync::Arc::ptr_eq(&state.agents, agents) {
            return;
        }
        state.agents = agents.clone();
        state.limits.set_entries(entries.max(1) as u32);
        self.take_agents(&mut state, configuration);
    }

    fn take_agents(&self, state: &mut State, configuration: &snapshot::Snapshot) {
        let agents = state.agents.clone();
        state.lowest = lowest_tiers(&configuration.intent);
        for pool in &configuration.intent.pools {
            let members: Vec<_> = agents.iter().filter(|agent| agent.pool == pool.name).collect();
            let names: Vec<_> = members.iter().map(|agent| agent.node.as_str()).collect();
            let picked = balancer::subset::pick(&self.node, &names, SUBSET);
            let replicas = members.iter().filter(|agent| picked.contains(&agent.node.as_str()));
            let replicas = replicas.map(|agent| {
                balancer::Replica::new(&agent.node, &agent.zone, pool.slots).leaving(agent.leaving)
            });
            let fresh = || balancer::Balancer::new(&self.zone);
            state.choosers.entry(pool.name.clone()).or_insert_with(fresh).set_replicas(replicas);
        }
    }

    /// Lets a request of the team through; [`Router::release`] must follow.
    ///
    /// # Errors
    ///
    /// A refusal when the team is over its limit.
    pub fn admit(&self, team: &str) -> Result<(), refusal::Refusal> {
        self.lock().limits.admit(team, time::Instant::now())
    }

    /// Gives back what [`Router::admit`] took.
    pub fn release(&self, team: &str) {
        self.lock().limits.release(team);
    }

    /// Chooses an agent for `job`, leaving out those in `tried`.
    ///
    /// # Errors
    ///
    /// A refusal, nothing run, when no agent can take it.
    pub fn choose(
        &self,
        job: &job::Job,
        tried: &[ids::NodeId],
    ) -> Result<(directory::Agent, balancer::Selection), refusal::Refusal> {
        let mut state = self.lock();
        // A replica that was left out is probed by work that can bear it.
        let lowest = state.lowest.get(&job.route.pool).is_none_or(|tier| job.class.tier >= *tier);
        let mut request = balancer::Request::new().may_probe(job.route.idempotent && lowest);
        if job.model {
            request = request.prefix(job.prefix);
        }
        request.avoid.extend(tried.iter().cloned());
        let chooser = state.choosers.get_mut(&job.route.pool).ok_or_else(|| no_replica(job))?;
        let choice = chooser.select(time::Instant::now(), &request, &mut rand::rng())?;
        let found = state.agents.iter().find(|agent| agent.node == choice.node);
        let agent = found.cloned().ok_or_else(|| no_replica(job))?;
        Ok((agent, choice))
    }

    /// The agent called `node`, if it is known.
    #[must_use]
    pub fn agent(&self, node: &str) -> Option<directory::Agent> {
        self.lock().agents.iter().find(|agent| agent.node == node).cloned()
    }

    /// Notes what became of a request that was sent to `agent`.
    pub fn observe(&self, agent: &directory::Agent, outcome: balancer::Observation) {
        let now = time::Instant::now();
        if let Some(chooser) = self.lock().choosers.get_mut(&agent.pool) {
            chooser.observe(&agent.node, outcome, now);
        }
    }

    /// Notes what `agent` told of its load.
    pub fn report(&self, agent: &directory::Agent, load: frame::Load) {
        let frame::Load { running, waiting, slots, backlog } = load;
        let load = balancer::Load { running, waiting, slots, backlog };
        if let Some(chooser) = self.lock().choosers.get_mut(&agent.pool) {
            chooser.report(&agent.node, load, time::Instant::now());
        }
    }

    /// Decides what becomes of a job of `team` whose attempt failed.
    #[must_use]
    pub fn decide(&self, team: &str, attempt: retry::Attempt) -> retry::Decision {
        let mut state = self.lock();
        retry::decide(time::Instant::now(), attempt, state.budgets.team(team))
    }

    /// Learns from a whole answer.
    pub fn learn(&self, job: &job::Job, usage: frame::Usage) {
        let mut state = self.lock();
        state.budgets.record_success(&job.team);
        if job.model {
            state.estimator.observe(&job.route.name, &job.class.name, usage.output);
        }
    }

    /// Expected cost of a model request in tokens.
    #[must_use]
    pub fn cost(&self, route: &str, class: &str, prompt_bytes: u64, limit: Option<u64>) -> u64 {
        self.lock().estimator.cost(route, class, prompt_bytes, limit)
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn lowest_tiers(intent: &intent::Intent) -> collections::HashMap<ids::PoolId, ids::Tier> {
    let mut lowest = collections::HashMap::new();
    for route in &intent.routes {
        let Some(class) = intent.class(&route.class) else { continue };
        let tier: &mut ids::Tier = lowest.entry(route.pool.clone()).or_default();
        *tier = (*tier).max(class.tier);
    }
    lowest
}

fn no_replica(job: &job::Job) -> refusal::Refusal {
    let text = format!("no backend server of pool '{}' takes work", job.route.pool);
    refusal::Refusal::not_run(code::Code::NoReplica, text).retry_after(COME_BACK)
}

/// When to come back if no backend server is there.
const COME_BACK: std::time::Duration = std::time::Duration::from_secs(1);
