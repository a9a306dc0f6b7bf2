//! Actions requested by the claim state machine.

use crate::claim;
use crate::ids;

/// Next action for the caller of [`claim::Claim::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the row and feed [`claim::Event::ReadDone`] or [`claim::Event::ReadFailed`].
    Read,
    /// Write the row if its version is unchanged, and feed [`claim::Event::WriteDone`].
    Write {
        /// Required version of the row; 0 if it must be absent.
        version: ids::RowVersion,
        /// New value.
        row: claim::ClaimRow,
    },
    /// Send the request once to this incarnation of the agent, and feed
    /// [`claim::Event::Finished`], [`claim::Event::NotRun`] or [`claim::Event::Lost`].
    Dispatch(claim::Target),
    /// Query the status of an earlier request and feed [`claim::Event::StatusReceived`].
    QueryStatus {
        /// The earlier request.
        request: ids::RequestId,
        /// The agent to which it was dispatched.
        target: claim::Target,
    },
    /// A call or the dispatch is in progress; feed its result.
    Pending,
    /// The claim is complete; report the outcome to the client.
    Settled(claim::Outcome),
}
