//! How far a claim is.

use crate::claim;
use crate::ids;

/// How far a claim is.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// The row is to be made ours; nothing of ours has run.
    Claiming,
    /// An earlier request holds the key and its agent is asked.
    Asking {
        /// Version of the row.
        version: ids::RowVersion,
        /// The row.
        row: claim::ClaimRow,
    },
    /// The answer of an earlier request is stored on its behalf.
    StoringOther(claim::StoredResponse),
    /// An earlier request is marked as of unknown outcome.
    MarkingOther,
    /// The request is at the agent.
    Dispatched {
        /// Version of the row.
        version: ids::RowVersion,
    },
    /// The answer is to be stored.
    Storing(claim::StoredResponse),
    /// The row is to be released, because nothing ran.
    Releasing(claim::NotRunReason),
    /// The row is to be marked as of unknown outcome.
    Marking,
    /// Nothing is left to do.
    Settled(claim::Outcome),
}
