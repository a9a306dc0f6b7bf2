//! Where the wanted replicas go.

use std::collections;
use std::time;

use azuregap_core::ids;
use azuregap_core::intent;

use super::backend;
use super::cost;
use super::inputs;
use super::ledger;
use super::step;
use super::unit;

/// Share of a first-token target that the round trip to a zone may take, as a divisor.
const DISTANCE_SHARE: u32 = 10;

/// What came of the wanted replicas.
pub(super) struct Placed {
    /// Steps, refusals last.
    pub(super) steps: Vec<step::Step>,
    /// Cost once the steps were taken.
    pub(super) cost: cost::Cost,
    /// Replicas of each pool once the steps were taken.
    pub(super) replicas: collections::BTreeMap<ids::PoolId, u32>,
}

/// Replicas by pool and zone.
type Spread<'a> = collections::HashMap<(&'a str, &'a str), u32>;

struct Placement<'a, 'b> {
    inputs: &'b inputs::Inputs<'a>,
    ledger: ledger::Ledger<'a>,
    spread: Spread<'a>,
    free: Vec<&'a backend::Backend>,
    starts: Vec<step::Step>,
    refusals: Vec<step::Step>,
}

/// Places `units`, which come the most urgent first.
pub(super) fn place<'a>(inputs: &inputs::Inputs<'a>, units: &[unit::Unit<'a>]) -> Placed {
    let mut free: Vec<_> =
        inputs.backends.iter().filter(|backend| !inputs.leaves(backend)).collect();
    free.sort_by(|a, b| (a.state, &a.name).cmp(&(b.state, &b.name)));
    let ledger = ledger::Ledger::new(inputs);
    let spread = Spread::new();
    let (starts, refusals) = (Vec::new(), Vec::new());
    let mut placement = Placement { inputs, ledger, spread, free, starts, refusals };
    for unit in units {
        placement.place(unit);
    }
    placement.finish()
}

impl<'a> Placement<'a, '_> {
    fn place(&mut self, unit: &unit::Unit<'a>) {
        if !self.keep(unit) && !self.start(unit) {
            self.refuse(unit);
        }
    }

    /// Keeps a replica that is there, if its zone's spend allows it.
    fn keep(&mut self, unit: &unit::Unit<'a>) -> bool {
        let pool = unit.pool.name.as_str();
        let usable = |(_, backend): &(usize, &&'a backend::Backend)| {
            backend.pool == pool && self.ledger.affords(&backend.zone)
        };
        let order = |(_, backend): &(usize, &&'a backend::Backend)| {
            (self.crowded(unit, &backend.zone), backend.state, self.ledger.price(&backend.zone))
        };
        let best = self.free.iter().enumerate().filter(usable).min_by_key(order);
        let Some(index) = best.map(|(index, _)| index) else { return false };
        let backend = self.free.remove(index);
        self.count(pool, &backend.zone);
        true
    }

    /// Starts a replica in the best zone that the spend allows.
    fn start(&mut self, unit: &unit::Unit<'a>) -> bool {
        let pool = unit.pool.name.as_str();
        let inputs = self.inputs;
        let usable = |zone: &&'a intent::Zone| {
            self.ledger.affords(&zone.name) && is_near(inputs, unit.pool, &zone.name)
        };
        let order = |zone: &&'a intent::Zone| {
            let held = self.held(pool, &zone.name);
            let waits = !self.ledger.has_room(&zone.name);
            (self.crowded(unit, &zone.name), waits, zone.price, held)
        };
        let Some(zone) = inputs.intent.zones.iter().filter(usable).min_by_key(order) else {
            return false;
        };
        let ready = self.ledger.has_room(&zone.name);
        if ready {
            self.ledger.take(&zone.name);
        }
        self.count(pool, &zone.name);
        let why = format!("replica {} of {} for tier {}", unit.index + 1, unit.target, unit.tier);
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

    fn refuse(&mut self, unit: &unit::Unit<'a>) {
        let zone = self.ledger.cheapest();
        let (index, target, tier) = (unit.index + 1, unit.target, unit.tier);
        self.refusals.push(step::Step {
            action: step::Action::Refuse,
            backend: None,
            pool: unit.pool.name.clone(),
            zone: zone.to_owned(),
            reason: format!("replica {index} of {target} for tier {tier}: the spend is used up"),
            cost: signed(self.ledger.price(zone)),
            ready: false,
        });
    }

    /// Stops what is not wanted, or moves it where its pool starts a replica elsewhere.
    fn finish(mut self) -> Placed {
        let mut steps = Vec::new();
        for backend in self.inputs.backends.iter().filter(|backend| self.inputs.leaves(backend)) {
            steps.push(self.stop(backend, "leaving: stops when its work is done", true));
        }
        for backend in std::mem::take(&mut self.free) {
            let step = match self.starts.iter().position(|start| start.pool == backend.pool) {
                Some(index) => self.relocate(backend, index),
                None => self.surplus(backend),
            };
            steps.push(step);
        }
        steps.append(&mut self.starts);
        steps.append(&mut self.refusals);
        let mut replicas = collections::BTreeMap::new();
        for ((pool, _), count) in &self.spread {
            *replicas.entry((*pool).to_owned()).or_default() += count;
        }
        Placed { steps, cost: self.ledger.cost(), replicas }
    }

    /// A replica that is not wanted. While its pool still waits for another one it stays, unless
    /// the zone is over its spend.
    fn surplus(&self, backend: &backend::Backend) -> step::Step {
        if self.ledger.is_over(&backend.zone) {
            return self.stop(backend, "the zone is over its spend", true);
        }
        if self.refusals.iter().any(|step| step.pool == backend.pool) {
            return self.stop(backend, "the spend goes to a higher tier", true);
        }
        let waits = |other: &backend::Backend| {
            other.pool == backend.pool && other.state == backend::BackendState::Pending
        };
        let ready = !self.inputs.backends.iter().any(waits);
        self.stop(backend, "not needed for the demand", ready)
    }

    fn relocate(&mut self, backend: &backend::Backend, index: usize) -> step::Step {
        let start = self.starts.remove(index);
        let from = &backend.zone;
        step::Step {
            action: step::Action::Move,
            backend: Some(backend.name.clone()),
            reason: format!("{} from {from}, which is over its spend", start.reason),
            cost: start.cost - signed(self.ledger.price(from)),
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
            cost: -signed(self.ledger.price(&backend.zone)),
            ready,
        }
    }

    fn count(&mut self, pool: &'a str, zone: &'a str) {
        self.ledger.plan(zone);
        *self.spread.entry((pool, zone)).or_default() += 1;
    }

    fn held(&self, pool: &str, zone: &str) -> u32 {
        self.spread.get(&(pool, zone)).copied().unwrap_or_default()
    }

    /// Whether the zone holds half of the pool's replicas already.
    fn crowded(&self, unit: &unit::Unit<'a>, zone: &str) -> bool {
        self.held(&unit.pool.name, zone) >= unit.target.div_ceil(2)
    }
}

/// Whether the round trip to the zone is small beside every target of the pool's classes.
fn is_near(inputs: &inputs::Inputs<'_>, pool: &intent::Pool, zone: &str) -> bool {
    let Some(distance) = inputs.round_trips.get(zone) else { return true };
    let routes = inputs.intent.routes.iter().filter(|route| route.pool == pool.name);
    let target = |route: &intent::Route| {
        inputs.intent.class(&route.class).map_or(time::Duration::MAX, |class| class.first_token)
    };
    routes.map(target).all(|target| *distance * DISTANCE_SHARE <= target)
}

fn signed(cost: ids::Micros) -> i64 {
    i64::try_from(cost).unwrap_or(i64::MAX)
}
