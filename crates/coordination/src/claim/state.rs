//! State of the work under an idempotency key.

use serde::Deserialize;
use serde::Serialize;

use crate::claim;

/// State of the work under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may have been dispatched.
    Running,
    /// The request ran, with this response.
    Done(claim::StoredResponse),
    /// It cannot be determined whether the request ran; it is never run again.
    Unknown,
    /// The request was certainly not run; a retry may run it.
    Released,
}
