//! Share of the demand that a plan can serve.

use std::collections;

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

use super::inputs;

/// Share of a class's demand on a pool that the plan can serve.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Attainment {
    /// The pool.
    pub pool: ids::PoolId,
    /// The class.
    pub class: ids::ClassId,
    /// The tier of the class.
    pub tier: ids::Tier,
    /// Estimated demand, in tokens per second, or requests per second for a plain service.
    pub demand: f64,
    /// Share of the demand that can be served, from 0 to 1.
    pub served: f64,
}

/// Assigns each pool's capacity to its classes, highest tier first.
pub(super) fn attainment(
    inputs: &inputs::Inputs<'_>,
    replicas: &collections::BTreeMap<ids::PoolId, u32>,
) -> Vec<Attainment> {
    let intent = inputs.intent;
    let mut demands: Vec<_> = inputs.demand.iter().collect();
    let tier = |name: &str| intent.class(name).map_or(ids::Tier::MAX, |class| class.tier);
    demands.sort_by(|a, b| {
        (&a.pool, tier(&a.class), &a.class).cmp(&(&b.pool, tier(&b.class), &b.class))
    });
    let mut capacity: collections::BTreeMap<&str, f64> = collections::BTreeMap::new();
    for pool in &intent.pools {
        let count = replicas.get(&pool.name).copied().unwrap_or_default();
        capacity.insert(&pool.name, f64::from(count) * f64::from(pool.throughput));
    }
    let mut attainment = Vec::with_capacity(demands.len());
    for demand in demands {
        let remaining = capacity.entry(demand.pool.as_str()).or_default();
        let served = demand.rate.min(*remaining);
        *remaining -= served;
        attainment.push(Attainment {
            pool: demand.pool.clone(),
            class: demand.class.clone(),
            tier: tier(&demand.class),
            demand: demand.rate,
            served: if demand.rate > 0.0 { served / demand.rate } else { 1.0 },
        });
    }
    attainment
}
