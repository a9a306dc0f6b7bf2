//! Usage report of a window.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::ledger;

/// Usage report of a window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Window of the report.
    pub window: ids::WindowId,
    /// Usage by team, route and original window.
    pub lines: Vec<ledger::ReportLine>,
}

impl Report {
    /// Computes the report of `window` from all its records, except for requests in `billed`, which
    /// are in earlier reports. The result does not depend on the order of the records.
    #[must_use]
    pub fn new<'a>(
        window: ids::WindowId,
        records: impl IntoIterator<Item = &'a ledger::Record>,
        billed: &collections::HashSet<ids::RequestId>,
    ) -> Self {
        let mut totals: collections::BTreeMap<_, ledger::Usage> = collections::BTreeMap::new();
        for record in select_records(records, billed).into_values() {
            let late = (record.window < window).then_some(record.window);
            *totals.entry((&record.team, &record.route, late)).or_default() += record.usage;
        }
        let line = |((team, route, late_from), usage): ((&String, &String, _), _)| {
            ledger::ReportLine { team: team.clone(), route: route.clone(), late_from, usage }
        };
        Self { window, lines: totals.into_iter().map(line).collect() }
    }

    /// Serialises the report to the JSON text that is frozen and sent.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Selects one record for each request that has not been billed before. Records counted by an agent
/// take precedence, then those with the larger usage.
fn select_records<'a>(
    records: impl IntoIterator<Item = &'a ledger::Record>,
    billed: &collections::HashSet<ids::RequestId>,
) -> collections::HashMap<ids::RequestId, &'a ledger::Record> {
    let precedence = |record: &'a ledger::Record| {
        (record.counter, record.usage, &record.team, &record.route, record.window)
    };
    let mut selected = collections::HashMap::new();
    for record in records.into_iter().filter(|record| !billed.contains(&record.id)) {
        let current = selected.entry(record.id).or_insert(record);
        if precedence(record) > precedence(current) {
            *current = record;
        }
    }
    selected
}
