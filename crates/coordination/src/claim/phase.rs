//! Phases of a claim.

use crate::claim;
use crate::ids;

/// Phase of a claim.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Acquiring the row; this request has not been run.
    Claiming,
    /// An earlier request holds the claim, and its agent is queried.
    QueryingStatus {
        /// Version of the row.
        version: ids::RowVersion,
        /// Row of the earlier request.
        row: claim::ClaimRow,
    },
    /// Storing the response of an earlier request on its behalf.
    StoringEarlier(claim::StoredResponse),
    /// Marking the outcome of an earlier request as unknown.
    MarkingEarlier,
    /// The request has been dispatched to the agent.
    Dispatched {
        /// Version of the row.
        version: ids::RowVersion,
    },
    /// Storing the response.
    Storing(claim::StoredResponse),
    /// Releasing the row because nothing was run.
    Releasing(claim::NotRunReason),
    /// Marking the outcome as unknown.
    MarkingUnknown,
    /// Complete.
    Settled(claim::Outcome),
}
