//! What a claim is told.

use crate::claim;
use crate::store;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request came; fed once, first.
    Start,
    /// The row as it was read.
    ReadDone(store::VersionedRow<claim::ClaimRow>),
    /// The row could not be read.
    ReadFailed,
    /// The outcome of the write that was asked for.
    WriteDone(store::WriteOutcome),
    /// The dispatched request was answered whole.
    Finished(claim::StoredResponse),
    /// The agent refused the dispatch, or no connection to it was made: certainly nothing ran.
    /// Carries another agent to try, if there is one.
    NotRun(Option<claim::Target>),
    /// What became of the dispatched request cannot be learnt.
    Lost,
    /// What the agent said of an earlier request.
    StatusReceived(claim::RequestStatus),
}
