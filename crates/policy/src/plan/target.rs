//! Number of replicas that each pool needs.

use azuregap_core::ids;
use azuregap_core::intent;

use super::inputs;
use super::wanted;

/// Utilisation above which replicas are added.
pub const UTILISATION_HIGH: f64 = 0.7;

/// Upper bound of the utilisation that may result from removing replicas.
pub const UTILISATION_LOW: f64 = 0.5;

/// Every replica that is wanted, most urgent first.
pub(super) fn wanted_replicas<'a>(inputs: &inputs::Inputs<'a>) -> Vec<wanted::WantedReplica<'a>> {
    let mut wanted: Vec<_> =
        inputs.intent.pools.iter().flat_map(|pool| pool_replicas(inputs, pool)).collect();
    wanted.sort_by_key(|replica| (replica.index > 0, replica.tier, replica.index));
    wanted
}

fn pool_replicas<'a>(
    inputs: &inputs::Inputs<'a>,
    pool: &'a intent::Pool,
) -> impl Iterator<Item = wanted::WantedReplica<'a>> {
    let demand = demand_by_tier(inputs, pool);
    let rate = demand.iter().map(|(_, rate)| rate).sum();
    let target = target(pool, count_staying(inputs, pool), rate);
    (0..target).map(move |index| {
        let tier = tier_of(index, &demand, pool);
        wanted::WantedReplica { pool, tier, index, target }
    })
}

/// Demand on the pool by tier, highest tier first. Every class with a route to the pool is
/// included, even without demand.
fn demand_by_tier(inputs: &inputs::Inputs<'_>, pool: &intent::Pool) -> Vec<(ids::Tier, f64)> {
    let intent = inputs.intent;
    let routed = intent.routes.iter().filter(|route| route.pool == pool.name);
    let routed = routed.map(|route| (route.class.as_str(), 0.0));
    let estimated = inputs.demand.iter().filter(|demand| demand.pool == pool.name);
    let estimated = estimated.map(|demand| (demand.class.as_str(), demand.rate));
    let tier = |name: &str| intent.class(name).map_or(ids::Tier::MAX, |class| class.tier);
    let mut demand: Vec<_> =
        routed.chain(estimated).map(|(name, rate)| (tier(name), rate)).collect();
    demand.sort_by_key(|(tier, _)| *tier);
    demand
}

/// Number of the pool's replicas that are not leaving.
fn count_staying(inputs: &inputs::Inputs<'_>, pool: &intent::Pool) -> u32 {
    let staying = inputs
        .backends
        .iter()
        .filter(|backend| backend.pool == pool.name && !inputs.is_leaving(backend));
    u32::try_from(staying.count()).unwrap_or(u32::MAX)
}

/// Number of replicas the pool needs: the `present` number, clamped to the range in which the
/// utilisation is between the two bounds, and to the pool's minimum and maximum.
fn target(pool: &intent::Pool, present: u32, rate: f64) -> u32 {
    let needed = |utilisation: f64| {
        let replicas = rate / (f64::from(pool.throughput.max(1)) * utilisation);
        replicas.ceil().clamp(0.0, f64::from(u32::MAX)) as u32
    };
    let (min, max) = (needed(UTILISATION_HIGH), needed(UTILISATION_LOW));
    let max_replicas = pool.max_replicas.max(pool.min_replicas);
    present.clamp(min, max).clamp(pool.min_replicas, max_replicas)
}

/// The highest tier with demand that the replicas of lower index don't cover.
fn tier_of(index: u32, demand: &[(ids::Tier, f64)], pool: &intent::Pool) -> ids::Tier {
    let covered = f64::from(index) * f64::from(pool.throughput) * UTILISATION_HIGH;
    let mut cumulative = 0.0;
    for (tier, rate) in demand {
        cumulative += rate;
        if index == 0 || cumulative > covered {
            return *tier;
        }
    }
    demand.last().map_or(ids::Tier::MAX, |(tier, _)| *tier)
}
