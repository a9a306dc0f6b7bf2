//! Which gateways send to a backend server with a limit, and how much of it each of them uses.

use xxhash_rust::xxh3;

use crate::decision::membership;

/// Gateways that send to one backend server with a limit.
pub const HOLDERS: usize = 3;

/// Weight of a gateway for a backend server; those with the highest weights are the holders.
fn weight(backend: u32, node: &str) -> u64 {
    xxh3::xxh3_64_with_seed(node.as_bytes(), u64::from(backend))
}

/// Share of a backend server's limit that the gateway `node` may use beside `others`, which are all
/// gateways that it knows; `None` if it may use none.
#[must_use]
pub fn share<'a>(
    backend: u32,
    node: &str,
    others: impl Iterator<Item = &'a str>,
    standing: membership::Standing,
) -> Option<f64> {
    if standing != membership::Standing::Counted {
        return None;
    }
    let own = weight(backend, node);
    let (mut gateways, mut before) = (1, 0);
    for other in others {
        gateways += 1;
        before += usize::from(weight(backend, other) > own);
        if before == HOLDERS {
            return None;
        }
    }
    Some(1.0 / gateways.min(HOLDERS) as f64)
}
