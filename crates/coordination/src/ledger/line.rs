//! Line of a usage report.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::ledger;

/// Usage of a team on a route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportLine {
    /// Team.
    pub team: ids::TeamId,
    /// Route.
    pub route: String,
    /// Window that the usage belongs to, if it is earlier than that of the report.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub late_from: Option<ids::WindowId>,
    /// Total usage.
    pub usage: ledger::Usage,
}
