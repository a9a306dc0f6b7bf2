//! The usage report of one window.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::ledger;

/// The usage report of one window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The window.
    pub window: ids::WindowId,
    /// What was used, by team, route and window of origin.
    pub lines: Vec<ledger::ReportLine>,
}

impl Report {
    /// The report of `window` from all its records; requests in `billed` are in earlier reports.
    /// The order of the records does not matter.
    #[must_use]
    pub fn new<'a>(
        window: ids::WindowId,
        records: impl IntoIterator<Item = &'a ledger::Record>,
        billed: &collections::HashSet<ids::RequestId>,
    ) -> Self {
        let mut sums: collections::BTreeMap<_, ledger::Usage> = collections::BTreeMap::new();
        for record in chosen(records, billed).into_values() {
            let late = (record.window < window).then_some(record.window);
            *sums.entry((&record.team, &record.route, late)).or_default() += record.usage;
        }
        let line = |((team, route, late_from), usage): ((&String, &String, _), _)| {
            ledger::ReportLine { team: team.clone(), route: route.clone(), late_from, usage }
        };
        Self { window, lines: sums.into_iter().map(line).collect() }
    }

    /// The text that is frozen and sent.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// One record for each request that was not billed before: what an agent counted prevails, then
/// the larger usage.
fn chosen<'a>(
    records: impl IntoIterator<Item = &'a ledger::Record>,
    billed: &collections::HashSet<ids::RequestId>,
) -> collections::HashMap<ids::RequestId, &'a ledger::Record> {
    let rank = |record: &'a ledger::Record| {
        (record.counter, record.usage, &record.team, &record.route, record.window)
    };
    let mut chosen = collections::HashMap::new();
    for record in records.into_iter().filter(|record| !billed.contains(&record.id)) {
        let present = chosen.entry(record.id).or_insert(record);
        if rank(record) > rank(present) {
            *present = record;
        }
    }
    chosen
}
