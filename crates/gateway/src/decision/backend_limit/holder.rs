//! Which gateways send to a backend server with a limit, and how much of it each of them uses.

use crate::decision::membership;
use crate::decision::rendezvous;

/// Gateways that send to one backend server with a limit.
pub const HOLDERS: usize = 3;

/// Share of a backend server's limit that the gateway `node` may use beside `others`, which are all
/// gateways that it knows; `None` if it may use none.
#[must_use]
pub fn share<'a>(
    backend: u32,
    node: &str,
    others: impl Iterator<Item = &'a str> + Clone,
    standing: membership::Standing,
) -> Option<f64> {
    let is_holder = standing == membership::Standing::Counted
        && rendezvous::is_among_first(u64::from(backend), node, others.clone(), HOLDERS);
    is_holder.then(|| {
        let gateways = 1 + others.take(HOLDERS).count();
        1.0 / gateways.min(HOLDERS) as f64
    })
}
