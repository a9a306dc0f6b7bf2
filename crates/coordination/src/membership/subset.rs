//! Which agents an entry talks to.

use crate::rendezvous;

/// The agents that `entry` talks to: those that prefer it among their first `per_agent` entries.
///
/// The agents pick and not the entries, so that every agent is in the subsets of exactly
/// `per_agent` entries (or of all, if there are fewer) and none is left idle. An entry that comes
/// or goes changes only the subsets that it is part of.
#[must_use]
pub fn subset<'a>(
    entry: &str,
    entries: &[&str],
    agents: impl IntoIterator<Item = &'a str>,
    per_agent: usize,
) -> Vec<&'a str> {
    let prefers = |agent: &&str| {
        let own = (rendezvous::score(agent, entry), entry);
        let better = |other: &&&str| (rendezvous::score(agent, other), **other) > own;
        entries.iter().filter(better).take(per_agent).count() < per_agent
    };
    agents.into_iter().filter(prefers).collect()
}
