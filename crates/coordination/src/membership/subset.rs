//! Subsetting of the agents among the entries.

use crate::rendezvous;

/// The agents to which `entry` connects: those that rank it among their `per_agent` highest-scoring
/// entries.
///
/// Agents select entries rather than the reverse, so that every agent is in the subsets of exactly
/// `per_agent` entries (or of all, if there are fewer) and no agent is left idle. Adding or
/// removing an entry changes only the assignments of the agents that select it.
#[must_use]
pub fn subset<'a>(
    entry: &str,
    entries: &[&str],
    agents: impl IntoIterator<Item = &'a str>,
    per_agent: usize,
) -> Vec<&'a str> {
    let selects_entry = |agent: &&str| {
        let own_score = (rendezvous::score(agent, entry), entry);
        let ranks_higher = |other: &&&str| (rendezvous::score(agent, other), **other) > own_score;
        entries.iter().filter(ranks_higher).take(per_agent).count() < per_agent
    };
    agents.into_iter().filter(selects_entry).collect()
}
