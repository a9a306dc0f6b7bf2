//! Placement of the wanted replicas in zones.

use std::collections;
use std::time;

use azuregap_core::ids;
use azuregap_core::intent;

use super::backend;
use super::budget;
use super::cost;
use super::inputs;
use super::step;
use super::wanted;

/// Divisor of the first-token target that gives the longest acceptable round trip to a zone.
const ROUND_TRIP_DIVISOR: u32 = 10;

/// Result of placing the wanted replicas.
pub(super) struct Placement {
    /// Steps; refusals come last.
    pub(super) steps: Vec<step::Step>,
    /// Cost after the steps.
    pub(super) cost: cost::Cost,
    /// Replicas of each pool after the steps.
    pub(super) replicas: collections::BTreeMap<ids::PoolId, u32>,
}

/// Number of replicas by pool and zone.
type ReplicaCounts<'a> = collections::HashMap<(&'a str, &'a str), u32>;

struct Placer<'a, 'b> {
    inputs: &'b inputs::Inputs<'a>,
    budget: budget::Budget<'a>,
    counts: ReplicaCounts<'a>,
    /// Backend servers that stay and are not yet assigned to a wanted replica.
    unassigned: Vec<&'a backend::Backend>,
    starts: Vec<step::Step>,
    refusals: Vec<step::Step>,
}

/// Places the `wanted` replicas, which are ordered by urgency, most urgent first.
pub(super) fn place<'a>(
    inputs: &inputs::Inputs<'a>,
    wanted: &[wanted::WantedReplica<'a>],
) -> Placement {
    let mut unassigned: Vec<_> =
        inputs.backends.iter().filter(|backend| !inputs.is_leaving(backend)).collect();
    unassigned.sort_by(|a, b| (a.state, &a.name).cmp(&(b.state, &b.name)));
    let budget = budget::Budget::new(inputs);
    let counts = ReplicaCounts::new();
    let (starts, refusals) = (Vec::new(), Vec::new());
    let mut placer = Placer { inputs, budget, counts, unassigned, starts, refusals };
    for replica in wanted {
        placer.place(replica);
    }
    placer.finish()
}

impl<'a> Placer<'a, '_> {
    fn place(&mut self, replica: &wanted::WantedReplica<'a>) {
        if !self.keep(replica) && !self.start(replica) {
            self.refuse(replica);
        }
    }

    /// Assigns an existing backend server, if its zone's spending limit allows it.
    fn keep(&mut self, replica: &wanted::WantedReplica<'a>) -> bool {
        let pool = replica.pool.name.as_str();
        let usable = |(_, backend): &(usize, &&'a backend::Backend)| {
            backend.pool == pool && self.budget.affords_planned(&backend.zone)
        };
        let order = |(_, backend): &(usize, &&'a backend::Backend)| {
            (self.has_half(replica, &backend.zone), backend.state, self.budget.price(&backend.zone))
        };
        let best = self.unassigned.iter().enumerate().filter(usable).min_by_key(order);
        let Some(index) = best.map(|(index, _)| index) else { return false };
        let backend = self.unassigned.remove(index);
        self.count(pool, &backend.zone);
        true
    }

    /// Starts a backend server in the best zone that the spending limits allow.
    fn start(&mut self, replica: &wanted::WantedReplica<'a>) -> bool {
        let pool = replica.pool.name.as_str();
        let inputs = self.inputs;
        let usable = |zone: &&'a intent::Zone| {
            self.budget.affords_planned(&zone.name) && is_near(inputs, replica.pool, &zone.name)
        };
        let order = |zone: &&'a intent::Zone| {
            let count = self.replica_count(pool, &zone.name);
            let waits = !self.budget.affords_now(&zone.name);
            (self.has_half(replica, &zone.name), waits, zone.price, count)
        };
        let Some(zone) = inputs.intent.zones.iter().filter(usable).min_by_key(order) else {
            return false;
        };
        let ready = self.budget.affords_now(&zone.name);
        if ready {
            self.budget.commit(&zone.name);
        }
        self.count(pool, &zone.name);
        let why = format!(
            "replica {} of {} for tier {}",
            replica.index + 1,
            replica.target,
            replica.tier
        );
        self.starts.push(step::Step {
            action: step::Action::Start,
            backend: None,
            pool: pool.to_owned(),
            zone: zone.name.clone(),
            reason: if ready { why } else { format!("{why}, once a stop made room") },
            cost: signed(zone.price),
            ready,
        });
        true
    }

    fn refuse(&mut self, replica: &wanted::WantedReplica<'a>) {
        let zone = self.budget.cheapest();
        let (index, target, tier) = (replica.index + 1, replica.target, replica.tier);
        self.refusals.push(step::Step {
            action: step::Action::Refuse,
            backend: None,
            pool: replica.pool.name.clone(),
            zone: zone.to_owned(),
            reason: format!("replica {index} of {target} for tier {tier}: the spend is used up"),
            cost: signed(self.budget.price(zone)),
            ready: false,
        });
    }

    /// Stops the backend servers that remain unassigned, or moves them if their pool starts a
    /// replica elsewhere.
    fn finish(mut self) -> Placement {
        let mut steps = Vec::new();
        for backend in self.inputs.backends.iter().filter(|backend| self.inputs.is_leaving(backend))
        {
            steps.push(self.stop(backend, "leaving: stops when its work is done", true));
        }
        for backend in std::mem::take(&mut self.unassigned) {
            let step = match self.starts.iter().position(|start| start.pool == backend.pool) {
                Some(index) => self.move_backend(backend, index),
                None => self.stop_surplus(backend),
            };
            steps.push(step);
        }
        steps.append(&mut self.starts);
        steps.append(&mut self.refusals);
        let mut replicas = collections::BTreeMap::new();
        for ((pool, _), count) in &self.counts {
            *replicas.entry((*pool).to_owned()).or_default() += count;
        }
        Placement { steps, cost: self.budget.cost(), replicas }
    }

    /// Stops a backend server that is not wanted. The stop is not ready while another one of the
    /// pool is pending, unless the zone is over its spending limit or the cost is needed by a
    /// higher tier.
    fn stop_surplus(&self, backend: &backend::Backend) -> step::Step {
        if self.budget.is_exceeded(&backend.zone) {
            return self.stop(backend, "the zone is over its spend", true);
        }
        if self.refusals.iter().any(|step| step.pool == backend.pool) {
            return self.stop(backend, "the spend goes to a higher tier", true);
        }
        let pending = |other: &backend::Backend| {
            other.pool == backend.pool && other.state == backend::BackendState::Pending
        };
        let ready = !self.inputs.backends.iter().any(pending);
        self.stop(backend, "not needed for the demand", ready)
    }

    /// Turns the start at `index` into a move of `backend`.
    fn move_backend(&mut self, backend: &backend::Backend, index: usize) -> step::Step {
        let start = self.starts.remove(index);
        let from = &backend.zone;
        step::Step {
            action: step::Action::Move,
            backend: Some(backend.name.clone()),
            reason: format!("{} from {from}, which is over its spend", start.reason),
            cost: start.cost - signed(self.budget.price(from)),
            ..start
        }
    }

    fn stop(&self, backend: &backend::Backend, reason: &str, ready: bool) -> step::Step {
        step::Step {
            action: step::Action::Stop,
            backend: Some(backend.name.clone()),
            pool: backend.pool.clone(),
            zone: backend.zone.clone(),
            reason: reason.to_owned(),
            cost: -signed(self.budget.price(&backend.zone)),
            ready,
        }
    }

    /// Counts a replica of the pool that is in the zone after the plan.
    fn count(&mut self, pool: &'a str, zone: &'a str) {
        self.budget.plan(zone);
        *self.counts.entry((pool, zone)).or_default() += 1;
    }

    fn replica_count(&self, pool: &str, zone: &str) -> u32 {
        self.counts.get(&(pool, zone)).copied().unwrap_or_default()
    }

    /// Whether the zone already has half of the pool's replicas.
    fn has_half(&self, replica: &wanted::WantedReplica<'a>, zone: &str) -> bool {
        self.replica_count(&replica.pool.name, zone) >= replica.target.div_ceil(2)
    }
}

/// Whether the round trip to the zone is small compared with the first-token target of every class
/// that is routed to the pool.
fn is_near(inputs: &inputs::Inputs<'_>, pool: &intent::Pool, zone: &str) -> bool {
    let Some(round_trip) = inputs.round_trips.get(zone) else { return true };
    let routes = inputs.intent.routes.iter().filter(|route| route.pool == pool.name);
    let target = |route: &intent::Route| {
        inputs.intent.class(&route.class).map_or(time::Duration::MAX, |class| class.first_token)
    };
    routes.map(target).all(|target| *round_trip * ROUND_TRIP_DIVISOR <= target)
}

fn signed(cost: ids::Micros) -> i64 {
    i64::try_from(cost).unwrap_or(i64::MAX)
}
