//! The subset of a pool's replicas that one entry sends requests to.

use xxhash_rust::xxh3;

/// Picks `size` of `nodes` for an entry by rendezvous hashing, in the order of `nodes`.
///
/// Adding or removing a node changes at most one other member of the subset.
///
/// ```
/// use azuregap_policy::balancer::subset;
///
/// let nodes = ["a", "b", "c", "d"];
/// assert_eq!(subset::pick("entry-1", &nodes, 2).len(), 2);
/// assert_eq!(subset::pick("entry-1", &nodes, 9), vec!["a", "b", "c", "d"]);
/// ```
#[must_use]
pub fn pick<'a>(entry: &str, nodes: &[&'a str], size: usize) -> Vec<&'a str> {
    if nodes.len() <= size {
        return nodes.to_vec();
    }
    let seed = xxh3::xxh3_64(entry.as_bytes());
    let ranked = nodes.iter().enumerate();
    let ranked = ranked.map(|(i, node)| (xxh3::xxh3_64_with_seed(node.as_bytes(), seed), i));
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_unstable();
    let mut picked: Vec<_> = ranked[..size].iter().map(|(_, i)| *i).collect();
    picked.sort_unstable();
    picked.into_iter().map(|i| nodes[i]).collect()
}
