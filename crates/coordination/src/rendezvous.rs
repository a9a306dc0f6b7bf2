//! Rendezvous (highest random weight) hashing: processes with the same member list select the same
//! members, and adding or removing a member affects only the selections that contain it.
//!
//! Reference: D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
//! rates", IEEE/ACM Transactions on Networking 6(1), 1998.

use std::cmp;

use xxhash_rust::xxh3;

/// Weight of `member` for `key`; the members with the highest weights are selected.
#[must_use]
pub fn score(key: &str, member: &str) -> u64 {
    xxh3::xxh3_64_with_seed(member.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}

/// Members in descending order of their weight for `key`, without duplicates.
pub fn ranked<'a>(key: &str, members: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut weighted: Vec<_> =
        members.into_iter().map(|member| (cmp::Reverse(score(key, member)), member)).collect();
    weighted.sort_unstable();
    weighted.dedup();
    weighted.into_iter().map(|(_, member)| member).collect()
}

/// The `count` members with the highest weights for `key`, highest first.
pub fn pick<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked = ranked(key, members);
    ranked.truncate(count);
    ranked
}
