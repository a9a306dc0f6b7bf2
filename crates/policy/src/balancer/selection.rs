//! The choice and why it fell so.

use azuregap_core::ids;
use serde::Serialize;

/// The chosen replica, with the inputs that mattered.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Selection {
    /// The agent to send the request to.
    pub node: ids::NodeId,
    /// Why this one.
    pub reason: Reason,
    /// Its estimated requests for each slot, with this one.
    #[serde(rename = "fill")]
    pub load_factor: f32,
    /// The same for the best replica that was compared and not taken.
    #[serde(rename = "other")]
    pub alternative: Option<f32>,
    /// Replicas that could have been chosen.
    pub eligible: usize,
    /// Replicas left out because they fail or are slow.
    #[serde(rename = "left_out")]
    pub ejected: usize,
}

/// Why a replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It likely has the prompt's prefix cached and is not much busier than others.
    Prefix,
    /// It was the least loaded of those sampled.
    LeastLoaded,
    /// It was left out, and this request finds out whether it is well again.
    Probe,
    /// No replica is well, so the least loaded of all was taken.
    LastResort,
}
