//! Usage record of a request.

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use crate::ids;
use crate::ledger;

/// Usage record of a request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Id of the request, of whose records only one is billed. Serialised as a decimal string.
    #[serde_as(as = "DisplayFromStr")]
    pub id: ids::RequestId,
    /// Agent that ran the request.
    pub agent: ids::NodeId,
    /// Incarnation of the agent.
    pub incarnation: ids::Incarnation,
    /// Process that counted the usage.
    pub counter: ledger::RecordSource,
    /// Window that the usage belongs to.
    pub window: ids::WindowId,
    /// Team that is billed.
    pub team: ids::TeamId,
    /// Route of the request.
    pub route: String,
    /// Counted usage.
    pub usage: ledger::Usage,
}
