//! The claim row of an idempotency key.

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use crate::claim;
use crate::ids;

/// Durable state of an idempotency key.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of the request for which the key is used.
    pub digest: claim::RequestDigest,
    /// The request that holds the claim; serialised as a decimal string.
    #[serde_as(as = "DisplayFromStr")]
    pub request: ids::RequestId,
    /// Number of the dispatch attempt, from 1. Together with `request` it identifies the write, so
    /// that a process recognises its own row after a lost response.
    pub attempt: u32,
    /// The agent that is to run the request.
    pub target: claim::Target,
    /// State of the request.
    pub state: claim::ClaimState,
}
