//! Chooses a few gateways for a key, by rendezvous hashing: all that know the same gateways agree
//! without a message, and one that comes or goes changes only its own place.
//!
//! ```
//! use azuregap_gateway::decision::rendezvous;
//!
//! let nodes = ["g-1", "g-2", "g-3", "g-4"];
//! let is_first = |node: &&&str| {
//!     let others = nodes.into_iter().filter(|other| other != *node);
//!     rendezvous::is_among_first(7, node, others, 2)
//! };
//! assert_eq!(nodes.iter().filter(is_first).count(), 2);
//! ```

use xxhash_rust::xxh3;

fn weight(key: u64, node: &str) -> u64 {
    xxh3::xxh3_64_with_seed(node.as_bytes(), key)
}

/// Whether a gateway is among the first `count` for a key, of itself and `others`.
pub fn is_among_first<'a>(
    key: u64,
    node: &str,
    others: impl Iterator<Item = &'a str>,
    count: usize,
) -> bool {
    let own = weight(key, node);
    others.filter(|other| weight(key, other) > own).take(count).count() < count
}
