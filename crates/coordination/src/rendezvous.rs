//! Rendezvous hashing: everyone who knows the same members picks the same few of them, and a
//! member that comes or goes changes only the picks that it is part of.
//!
//! Source: D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit rates",
//! IEEE/ACM Transactions on Networking 6(1), 1998.

use std::cmp;

use xxhash_rust::xxh3;

/// Score of `member` for `key`; the highest scores are picked.
#[must_use]
pub fn score(key: &str, member: &str) -> u64 {
    xxh3::xxh3_64_with_seed(member.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}

/// The members in the order in which `key` prefers them.
pub fn ranked<'a>(key: &str, members: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<_> =
        members.into_iter().map(|member| (cmp::Reverse(score(key, member)), member)).collect();
    scored.sort_unstable();
    scored.dedup();
    scored.into_iter().map(|(_, member)| member).collect()
}

/// The `count` members that `key` prefers, best first.
pub fn pick<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked = ranked(key, members);
    ranked.truncate(count);
    ranked
}
