//! How far the work under a key is.

use serde::Deserialize;
use serde::Serialize;

use crate::claim;

/// How far the work under a key is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It may have been dispatched.
    Running,
    /// It ran; this was the answer.
    Done(claim::StoredResponse),
    /// Whether it ran cannot be learnt; it is never run again.
    Unknown,
    /// It certainly did not run; a repeat may run it.
    Released,
}
