//! The part of a gossip message that concerns usage reporting.

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

use super::message;

/// Counts of another process that the sender passes on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayedCounts {
    /// Name of the process's VM.
    pub node: ids::NodeId,
    /// The process.
    pub incarnation: ids::Incarnation,
    /// Its counts, as far as the sender knows them.
    pub counts: Vec<message::UsageCount>,
}

/// A gateway's part in usage reporting.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageNotice {
    /// Whether it may become the reporter: it can reach the store and isn't stopping.
    pub can_report: bool,
    /// Whether it is stopping; once it is silent, it has no further counts.
    pub is_leaving: bool,
    /// Its fencing token, if it reports usage and asks the recipient for its counts.
    pub counts_wanted: Option<ids::Fence>,
    /// Sum of its counts in each of the newest windows, by window; `None` if the message doesn't
    /// carry counts.
    pub totals: Option<Vec<(u64, u64)>>,
    /// Counts of processes that may not be able to send them to the recipient.
    pub relayed: Vec<RelayedCounts>,
}
