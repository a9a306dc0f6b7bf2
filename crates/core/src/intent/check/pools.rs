//! Checks of pools and of the floors of the classes that share their queues.

use std::collections;

use super::super::Intent;
use super::super::Pool;
use crate::findings;

/// Largest sum of the floors at one queue, in percent of dispatches.
const MAX_FLOORS: u32 = 100;

pub(super) fn check(intent: &Intent, findings: &mut findings::Findings) {
    findings.unique(intent.pools.iter().map(|pool| &pool.name), |i| format!("pools[{i}].name"));
    for (i, pool) in intent.pools.iter().enumerate() {
        check_pool(pool, &format!("pools[{i}]"), findings);
        check_floors(intent, pool, &format!("pools[{i}]"), findings);
    }
}

fn check_pool(pool: &Pool, path: &str, findings: &mut findings::Findings) {
    findings.name(&pool.name, format_args!("{path}.name"));
    findings.require(pool.slots > 0, format_args!("{path}.slots"), "at least 1 request at once");
    let unit = "at least 1 token (or, for a plain service, request) a second";
    findings.require(pool.throughput > 0, format_args!("{path}.throughput"), unit);
    let most = format!("{path}.max_replicas");
    findings.require(pool.max_replicas > 0, &most, "at least 1 replica");
    let ordered = pool.min_replicas <= pool.max_replicas;
    findings.agree(ordered, &most, format!("at least {path}.min_replicas"));
}

/// The classes that a pool's routes lead to share each replica's queue.
fn check_floors(intent: &Intent, pool: &Pool, path: &str, findings: &mut findings::Findings) {
    let routes = intent.routes.iter().filter(|route| route.pool == pool.name);
    let classes: collections::BTreeSet<_> = routes.map(|route| &route.class).collect();
    let floors = classes.iter().filter_map(|name| intent.class(name));
    let sum: u32 = floors.map(|class| u32::from(class.floor_percent)).sum();
    findings.agree(
        sum <= MAX_FLOORS,
        format_args!("{path}.name"),
        format!("classes whose floors sum to at most {MAX_FLOORS} percent, not {sum}"),
    );
}
