//! Replica selection, team limits, retry budgets and cost estimates for all requests of one entry.
//!
//! `azuregap-policy` makes the decisions. This module holds their state behind one lock and updates
//! it from the configuration and the directory.

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

/// Maximum number of agents of one pool that one entry selects from.
const MAX_POOL_AGENTS: usize = 64;

#[derive(Debug, Default)]
struct State {
    version: ids::Version,
    agents: sync::Arc<Vec<directory::Agent>>,
    balancers: collections::HashMap<ids::PoolId, balancer::Balancer>,
    /// Lowest tier, which has the largest number, of the routes to each pool.
    lowest_tiers: collections::HashMap<ids::PoolId, ids::Tier>,
    limits: limits::TeamLimiter,
    budgets: retry::TeamBudgets,
    estimator: cost::Estimator,
}

/// Routing state of one entry; clones share it.
#[derive(Clone, Debug)]
pub struct Router {
    node: ids::NodeId,
    zone: ids::ZoneId,
    state: sync::Arc<sync::Mutex<State>>,
}

impl Router {
    /// Creates a router for the entry `node` in `zone`.
    #[must_use]
    pub fn new(node: impl Into<ids::NodeId>, zone: impl Into<ids::ZoneId>) -> Self {
        Self { node: node.into(), zone: zone.into(), state: sync::Arc::default() }
    }

    /// Applies changes of the configuration and of the known agents.
    ///
    /// `entries` is the number of entries that share the team limits.
    pub fn update(
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
        self.update_replicas(&mut state, configuration);
    }

    fn update_replicas(&self, state: &mut State, configuration: &snapshot::Snapshot) {
        let agents = state.agents.clone();
        state.lowest_tiers = lowest_tiers(&configuration.intent);
        for pool in &configuration.intent.pools {
            let pool_agents: Vec<_> =
                agents.iter().filter(|agent| agent.pool == pool.name).collect();
            let names: Vec<_> = pool_agents.iter().map(|agent| agent.node.as_str()).collect();
            let subset = balancer::subset::pick(&self.node, &names, MAX_POOL_AGENTS);
            let replicas = pool_agents.iter().filter(|agent| subset.contains(&agent.node.as_str()));
            let replicas = replicas.map(|agent| {
                balancer::Replica::new(&agent.node, &agent.zone, pool.slots).leaving(agent.leaving)
            });
            let new_balancer = || balancer::Balancer::new(&self.zone);
            state
                .balancers
                .entry(pool.name.clone())
                .or_insert_with(new_balancer)
                .set_replicas(replicas);
        }
    }

    /// Admits a request of the team. Each admission must be followed by [`Router::release`].
    ///
    /// # Errors
    ///
    /// A refusal when the team has reached its limit.
    pub fn admit(&self, team: &str) -> Result<(), refusal::Refusal> {
        self.lock().limits.admit(team, time::Instant::now())
    }

    /// Releases the capacity taken by [`Router::admit`].
    pub fn release(&self, team: &str) {
        self.lock().limits.release(team);
    }

    /// Selects an agent for `job` that is not in `tried`.
    ///
    /// # Errors
    ///
    /// A not-run refusal when no agent can accept the request.
    pub fn select(
        &self,
        job: &job::Job,
        tried: &[ids::NodeId],
    ) -> Result<(directory::Agent, balancer::Selection), refusal::Refusal> {
        let mut state = self.lock();
        // Ejected replicas are probed only with idempotent requests of the lowest tier.
        let is_lowest_tier =
            state.lowest_tiers.get(&job.route.pool).is_none_or(|tier| job.class.tier >= *tier);
        let mut request =
            balancer::Request::new().may_probe(job.route.idempotent && is_lowest_tier);
        if job.model_pool {
            request = request.prefix(job.prefix_hash);
        }
        request.avoid.extend(tried.iter().cloned());
        let balancer = state.balancers.get_mut(&job.route.pool).ok_or_else(|| no_replica(job))?;
        let selection = balancer.select(time::Instant::now(), &request, &mut rand::rng())?;
        let agent = state.agents.iter().find(|agent| agent.node == selection.node);
        let agent = agent.cloned().ok_or_else(|| no_replica(job))?;
        Ok((agent, selection))
    }

    /// The agent with node name `node`, if it is known.
    #[must_use]
    pub fn agent(&self, node: &str) -> Option<directory::Agent> {
        self.lock().agents.iter().find(|agent| agent.node == node).cloned()
    }

    /// Records an observation of a request that was sent to `agent`.
    pub fn observe(&self, agent: &directory::Agent, observation: balancer::Observation) {
        let now = time::Instant::now();
        if let Some(balancer) = self.lock().balancers.get_mut(&agent.pool) {
            balancer.observe(&agent.node, observation, now);
        }
    }

    /// Records the load that `agent` reported.
    pub fn report_load(&self, agent: &directory::Agent, load: frame::Load) {
        let frame::Load { running, waiting, slots, backlog } = load;
        let load = balancer::Load { running, waiting, slots, backlog };
        if let Some(balancer) = self.lock().balancers.get_mut(&agent.pool) {
            balancer.report(&agent.node, load, time::Instant::now());
        }
    }

    /// Decides whether a request of `team` is retried after a failed attempt.
    #[must_use]
    pub fn decide_retry(&self, team: &str, attempt: retry::Attempt) -> retry::Decision {
        let mut state = self.lock();
        retry::decide(time::Instant::now(), attempt, state.budgets.team(team))
    }

    /// Records a complete response in the team's retry budget and, for models, its output tokens in
    /// the cost estimator.
    pub fn record_success(&self, job: &job::Job, usage: frame::Usage) {
        let mut state = self.lock();
        state.budgets.record_success(&job.team);
        if job.model_pool {
            state.estimator.observe(&job.route.name, &job.class.name, usage.output);
        }
    }

    /// Estimated cost of a model request in tokens.
    #[must_use]
    pub fn estimate_cost(
        &self,
        route: &str,
        class: &str,
        prompt_bytes: u64,
        limit: Option<u64>,
    ) -> u64 {
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
    refusal::Refusal::not_run(code::Code::NoReplica, text).retry_after(NO_REPLICA_RETRY_AFTER)
}

/// `Retry-After` of a refusal when no backend server is available.
const NO_REPLICA_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);
