//! A line of a report.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::ledger;

/// What a team used on a route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportLine {
    /// The team.
    pub team: ids::TeamId,
    /// The route.
    pub route: String,
    /// The window that the usage belongs to, if it is an earlier one than that of the report.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub late_from: Option<ids::WindowId>,
    /// What was used.
    pub usage: ledger::Usage,
}
