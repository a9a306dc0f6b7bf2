//! Events handled by the claim state machine.

use crate::claim;
use crate::store;

/// Input of [`claim::Claim::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request arrived; fed exactly once, as the first event.
    Start,
    /// The row was read.
    ReadDone(store::VersionedRow<claim::ClaimRow>),
    /// The read failed.
    ReadFailed,
    /// The requested write completed with this outcome.
    WriteDone(store::WriteOutcome),
    /// The dispatched request completed with this response.
    Finished(claim::StoredResponse),
    /// The agent rejected the dispatch or could not be reached, so nothing was run. Carries the
    /// next agent to try, if any.
    NotRun(Option<claim::Target>),
    /// The outcome of the dispatched request cannot be determined.
    Lost,
    /// The agent reported the status of an earlier request, or did not respond.
    StatusReceived(claim::RequestStatus),
}
