//! A usage report of a simulated fleet.

use std::collections;
use std::time::Duration;

use azuregap_gateway::decision::usage_counts;

/// A report that was stored.
#[derive(Debug)]
pub struct Report {
    /// Time from the end of the window to the report.
    pub ended: Duration,
    /// Requests by gateway, each of which has a team of its own.
    pub counts: collections::BTreeMap<usage_counts::TeamHash, u64>,
}
