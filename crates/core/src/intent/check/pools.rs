//! Validation of pools and of the floors of the classes that share their queues.

use std::collections;

use super::super::Intent;
use super::super::Pool;
use crate::findings;

/// Maximum sum of the floors of a queue, in percent of dispatches.
const MAX_FLOOR_SUM_PERCENT: u32 = 100;

pub(super) fn check(intent: &Intent, findings: &mut findings::Findings) {
    findings
        .require_unique(intent.pools.iter().map(|pool| &pool.name), |i| format!("pools[{i}].name"));
    for (i, pool) in intent.pools.iter().enumerate() {
        check_pool(pool, &format!("pools[{i}]"), findings);
        check_floors(intent, pool, &format!("pools[{i}]"), findings);
    }
}

fn check_pool(pool: &Pool, path: &str, findings: &mut findings::Findings) {
    findings.require_name(&pool.name, format_args!("{path}.name"));
    findings.require(pool.slots > 0, format_args!("{path}.slots"), "at least 1 request at once");
    let unit = "at least 1 token (or, for a plain service, request) a second";
    findings.require(pool.throughput > 0, format_args!("{path}.throughput"), unit);
    let max_path = format!("{path}.max_replicas");
    findings.require(pool.max_replicas > 0, &max_path, "at least 1 replica");
    let ordered = pool.min_replicas <= pool.max_replicas;
    findings.require_consistent(ordered, &max_path, format!("at least {path}.min_replicas"));
}

/// Limits the sum of the floors of the classes that share the pool's queues: those of all routes
/// to the pool.
fn check_floors(intent: &Intent, pool: &Pool, path: &str, findings: &mut findings::Findings) {
    let routes = intent.routes.iter().filter(|route| route.pool == pool.name);
    let classes: collections::BTreeSet<_> = routes.map(|route| &route.class).collect();
    let floors = classes.iter().filter_map(|name| intent.class(name));
    let sum: u32 = floors.map(|class| u32::from(class.floor_percent)).sum();
    findings.require_consistent(
        sum <= MAX_FLOOR_SUM_PERCENT,
        format_args!("{path}.name"),
        format!("classes whose floors sum to at most {MAX_FLOOR_SUM_PERCENT} percent, not {sum}"),
    );
}
