//! The row of one idempotency key.

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use crate::claim;
use crate::ids;

/// The row of one idempotency key.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of the request that the key stands for.
    pub digest: claim::RequestDigest,
    /// The request that holds the claim; written as a decimal string.
    #[serde_as(as = "DisplayFromStr")]
    pub request: ids::RequestId,
    /// Number of the agent that is tried, from 1; with `request` it tells one's own write.
    pub attempt: u32,
    /// The agent that is to run it.
    pub target: claim::Target,
    /// How far it is.
    pub state: claim::ClaimState,
}
