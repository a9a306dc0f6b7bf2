//! Aggregates the usage records of a window.

use std::collections;

use azuregap_core::ids;
use azuregap_wire::control;

use super::report;

/// Sums `records` by team, counting each request once and skipping those in `billed`.
#[must_use]
pub fn aggregate(
    window: u64,
    length_s: u64,
    records: &[control::UsageRecord],
    billed: &collections::HashSet<ids::RequestId>,
) -> report::Report {
    let mut seen = collections::HashSet::new();
    let mut teams: collections::BTreeMap<(&str, bool), report::TeamUsage> =
        collections::BTreeMap::new();
    for record in records {
        if billed.contains(&record.id) || !seen.insert(record.id) {
            continue;
        }
        let late = record.window < window;
        let usage = teams.entry((&record.team, late)).or_insert_with(|| report::TeamUsage {
            team: record.team.clone(),
            late,
            requests: 0,
            prompt: 0,
            output: 0,
        });
        usage.requests += record.usage.requests;
        usage.prompt += record.usage.prompt;
        usage.output += record.usage.output;
    }
    report::Report { window, length_s, teams: teams.into_values().collect() }
}
