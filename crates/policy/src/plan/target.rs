//! How many replicas each pool needs.

use azuregap_core::ids;
use azuregap_core::intent;

use super::inputs;
use super::unit;

/// Utilisation above which replicas are added.
pub const UTILISATION_HIGH: f64 = 0.7;

/// Utilisation that must not be reached after a replica is taken away.
pub const UTILISATION_LOW: f64 = 0.5;

/// Every replica wanted, the most urgent first.
pub(super) fn units<'a>(inputs: &inputs::Inputs<'a>) -> Vec<unit::Unit<'a>> {
    let mut units: Vec<_> =
        inputs.intent.pools.iter().flat_map(|pool| pool_units(inputs, pool)).collect();
    units.sort_by_key(|unit| (unit.index > 0, unit.tier, unit.index));
    units
}

fn pool_units<'a>(
    inputs: &inputs::Inputs<'a>,
    pool: &'a intent::Pool,
) -> impl Iterator<Item = unit::Unit<'a>> {
    let classes = by_tier(inputs, pool);
    let rate = classes.iter().map(|(_, rate)| rate).sum();
    let target = target(pool, present(inputs, pool), rate);
    (0..target).map(move |index| {
        let tier = tier_of(index, &classes, pool);
        unit::Unit { pool, tier, index, target }
    })
}

/// Demand on the pool by tier, the highest tier first; every class with a route to the pool has
/// a place in it.
fn by_tier(inputs: &inputs::Inputs<'_>, pool: &intent::Pool) -> Vec<(ids::Tier, f64)> {
    let intent = inputs.intent;
    let routed = intent.routes.iter().filter(|route| route.pool == pool.name);
    let routed = routed.map(|route| (route.class.as_str(), 0.0));
    let seen = inputs.demand.iter().filter(|demand| demand.pool == pool.name);
    let seen = seen.map(|demand| (demand.class.as_str(), demand.rate));
    let tier = |name: &str| intent.class(name).map_or(ids::Tier::MAX, |class| class.tier);
    let mut classes: Vec<_> = routed.chain(seen).map(|(name, rate)| (tier(name), rate)).collect();
    classes.sort_by_key(|(tier, _)| *tier);
    classes
}

/// Replicas of the pool that stay unless they are stopped.
fn present(inputs: &inputs::Inputs<'_>, pool: &intent::Pool) -> u32 {
    let stays = inputs
        .backends
        .iter()
        .filter(|backend| backend.pool == pool.name && !inputs.leaves(backend));
    u32::try_from(stays.count()).unwrap_or(u32::MAX)
}

/// Replicas wanted: as many as there are while the utilisation is between the two bounds.
fn target(pool: &intent::Pool, present: u32, rate: f64) -> u32 {
    let needed = |utilisation: f64| {
        let replicas = rate / (f64::from(pool.throughput.max(1)) * utilisation);
        replicas.ceil().clamp(0.0, f64::from(u32::MAX)) as u32
    };
    let (least, most) = (needed(UTILISATION_HIGH), needed(UTILISATION_LOW));
    let most_allowed = pool.max_replicas.max(pool.min_replicas);
    present.clamp(least, most).clamp(pool.min_replicas, most_allowed)
}

/// The highest tier whose demand is not covered by the replicas before this one.
fn tier_of(index: u32, classes: &[(ids::Tier, f64)], pool: &intent::Pool) -> ids::Tier {
    let before = f64::from(index) * f64::from(pool.throughput) * UTILISATION_HIGH;
    let mut covered = 0.0;
    for (tier, rate) in classes {
        covered += rate;
        if index == 0 || covered > before {
            return *tier;
        }
    }
    classes.last().map_or(ids::Tier::MAX, |(tier, _)| *tier)
}
