//! Outcome of a proposal.

use crate::configuration;
use crate::ids;

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change was accepted, now or by an earlier attempt, as this version.
    Accepted(ids::Version),
    /// The change was not accepted because of another change.
    Conflict(configuration::Conflict),
    /// The table service is unavailable, and the change was certainly not accepted.
    Unavailable,
    /// The change may have been accepted. Proposing it again is idempotent. Until the outcome is
    /// known, this process must not confirm its version to peers.
    Unknown,
}
