//! What a plan means for service.

use std::collections;

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

use super::inputs;

/// Share of the demand of a class on a pool that the plan can serve.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Attainment {
    /// The pool.
    pub pool: ids::PoolId,
    /// The class.
    pub class: ids::ClassId,
    /// Its tier.
    pub tier: ids::Tier,
    /// Estimated demand, in tokens (or requests of a plain service) per second.
    pub demand: f64,
    /// Share of it that can be served, from 0 to 1.
    pub served: f64,
}

/// Gives each pool's capacity to its classes, the highest tier first.
pub(super) fn attainment(
    inputs: &inputs::Inputs<'_>,
    replicas: &collections::BTreeMap<ids::PoolId, u32>,
) -> Vec<Attainment> {
    let intent = inputs.intent;
    let mut notes: Vec<_> = inputs.demand.iter().collect();
    let tier = |name: &str| intent.class(name).map_or(ids::Tier::MAX, |class| class.tier);
    notes.sort_by(|a, b| {
        (&a.pool, tier(&a.class), &a.class).cmp(&(&b.pool, tier(&b.class), &b.class))
    });
    let mut left: collections::BTreeMap<&str, f64> = collections::BTreeMap::new();
    for pool in &intent.pools {
        let count = replicas.get(&pool.name).copied().unwrap_or_default();
        left.insert(&pool.name, f64::from(count) * f64::from(pool.throughput));
    }
    let mut out = Vec::with_capacity(notes.len());
    for demand in notes {
        let left = left.entry(demand.pool.as_str()).or_default();
        let served = demand.rate.min(*left);
        *left -= served;
        out.push(Attainment {
            pool: demand.pool.clone(),
            class: demand.class.clone(),
            tier: tier(&demand.class),
            demand: demand.rate,
            served: if demand.rate > 0.0 { served / demand.rate } else { 1.0 },
        });
    }
    out
}
