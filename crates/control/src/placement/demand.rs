//! Demand estimates from the load that agents report.

use std::collections;
use std::sync;

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_policy::plan;
use azuregap_wire::frame;
use tokio::time::Instant;

#[derive(Debug, Default)]
struct State {
    loads: collections::HashMap<ids::BackendId, (ids::PoolId, frame::Load)>,
    estimates: collections::BTreeMap<ids::PoolId, plan::DemandEstimate>,
}

/// Load of the backend servers and the demand estimated from it; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    state: sync::Arc<sync::Mutex<State>>,
}

impl DemandTracker {
    /// Name in the registry.
    pub const NAME: &'static str = "placement";

    /// Records the load of a backend server.
    pub fn record_load(&self, backend: &str, pool: &str, load: frame::Load) {
        self.lock().loads.insert(backend.to_owned(), (pool.to_owned(), load));
    }

    /// Removes backend servers for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.lock().loads.retain(|backend, _| keep(backend));
    }

    /// Updates the demand estimates with the reported loads. The initial estimate of a pool is the
    /// demand at which its current number of replicas is kept.
    pub fn observe(&self, intent: &intent::Intent, backends: &[plan::Backend], now: Instant) {
        let mut state = self.lock();
        let State { loads, estimates } = &mut *state;
        for pool in &intent.pools {
            let loads = loads.values().filter(|(name, _)| *name == pool.name);
            let rate = loads.map(|(_, load)| rate(pool, load)).sum();
            let estimate = estimates
                .entry(pool.name.clone())
                .or_insert_with(|| plan::DemandEstimate::new(sustaining_rate(pool, backends), now));
            estimate.observe(rate, now);
        }
    }

    /// The estimated demand, divided evenly among the classes with a route to the pool.
    #[must_use]
    pub fn demand(&self, intent: &intent::Intent) -> Vec<plan::Demand> {
        let state = self.lock();
        let mut demand = Vec::new();
        for (pool, estimate) in &state.estimates {
            let routed = intent.routes.iter().filter(|route| route.pool == *pool);
            let classes: collections::BTreeSet<_> = routed.map(|route| &route.class).collect();
            let share = estimate.rate() / classes.len().max(1) as f64;
            demand.extend(classes.into_iter().map(|class| plan::Demand {
                pool: pool.clone(),
                class: class.clone(),
                rate: share,
            }));
        }
        demand
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Load of one backend server as a rate: with every slot busy it equals the pool's throughput;
/// waiting requests count like running ones.
fn rate(pool: &intent::Pool, load: &frame::Load) -> f64 {
    let slots = f64::from(pool.slots.max(1));
    let work = f64::from(load.running) + f64::from(load.waiting);
    f64::from(pool.throughput) * work / slots
}

/// The demand at which the current number of replicas is kept.
fn sustaining_rate(pool: &intent::Pool, backends: &[plan::Backend]) -> f64 {
    let there = backends.iter().filter(|backend| backend.pool == pool.name).count();
    let utilisation = f64::midpoint(plan::UTILISATION_LOW, plan::UTILISATION_HIGH);
    there as f64 * f64::from(pool.throughput) * utilisation
}
