//! The selected replica and the reason for selecting it.

use azuregap_core::ids;
use serde::Serialize;

/// The selected replica, with the inputs of the decision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Selection {
    /// Node name of the agent to send the request to.
    pub node: ids::NodeId,
    /// Why it was selected.
    pub reason: Reason,
    /// Its estimated requests per slot, this one included.
    #[serde(rename = "fill")]
    pub load_factor: f32,
    /// Score of the best replica that was compared and not selected: its estimated requests per
    /// slot, with a penalty for another zone.
    #[serde(rename = "other")]
    pub alternative: Option<f32>,
    /// Number of replicas that were eligible.
    pub eligible: usize,
    /// Number of replicas ejected because they fail or are slow.
    #[serde(rename = "left_out")]
    pub ejected: usize,
}

/// Why a replica was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It likely has the prompt's prefix cached and is not much busier than the others.
    Prefix,
    /// It was the least loaded of those sampled.
    LeastLoaded,
    /// It is ejected, and this request tests whether it has recovered.
    Probe,
    /// No replica is eligible, so the least loaded available one was taken.
    LastResort,
}
