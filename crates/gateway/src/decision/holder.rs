//! Which gateways send to a backend server whose pace all of them share, and how much of it each of
//! them uses; [`super::backend_limit`] gives the argument for the bound.

use crate::decision::membership;
use crate::decision::rendezvous;

/// Share that the gateway `node` may use of what a backend server takes, beside `others`, which are all
/// gateways that it knows; `None` if it may use none. Up to `holders` gateways use an equal share.
#[must_use]
pub fn share<'a>(
    backend: u32,
    holders: usize,
    node: &str,
    others: impl Iterator<Item = &'a str> + Clone,
    standing: membership::Standing,
) -> Option<f64> {
    let is_holder = standing == membership::Standing::Counted
        && rendezvous::is_among_first(u64::from(backend), node, others.clone(), holders);
    is_holder.then(|| {
        let gateways = 1 + others.take(holders).count();
        1.0 / gateways.min(holders) as f64
    })
}
