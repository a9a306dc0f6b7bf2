//! Hash of a prompt's prefix, for affinity to the replica that has the prefix cached.

use xxhash_rust::xxh3;

/// Length of the prefix that is hashed, in bytes.
pub const PREFIX_BYTES: usize = 2048;

/// Hashes the prefix of `prompt`, seeded with the name of the pool.
///
/// Prompts for the same pool that share their first [`PREFIX_BYTES`] bytes have the same hash.
#[must_use]
pub fn hash(pool: &str, prompt: &[u8]) -> u64 {
    let head = &prompt[..prompt.len().min(PREFIX_BYTES)];
    xxh3::xxh3_64_with_seed(head, xxh3::xxh3_64(pool.as_bytes()))
}

/// Rank of a replica for a prefix in rendezvous hashing (Thaler and Ravishankar, 1998).
pub(super) const fn rank(prefix: u64, node: u64) -> u64 {
    let mixed = (prefix ^ node).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ (mixed >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93)
}
