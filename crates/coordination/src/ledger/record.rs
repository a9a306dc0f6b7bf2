//! The usage of one request.

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use crate::ids;
use crate::ledger;

/// The usage of one request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The request; of its records one is billed. Written as a decimal string.
    #[serde_as(as = "DisplayFromStr")]
    pub id: ids::RequestId,
    /// The agent that ran it.
    pub agent: ids::NodeId,
    /// Incarnation of that agent.
    pub incarnation: ids::Incarnation,
    /// Who counted it.
    pub counter: ledger::RecordSource,
    /// The window that it belongs to.
    pub window: ids::WindowId,
    /// The team that is billed.
    pub team: ids::TeamId,
    /// The route.
    pub route: String,
    /// What was used.
    pub usage: ledger::Usage,
}
