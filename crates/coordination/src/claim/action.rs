//! What a claim asks its caller to do.

use crate::claim;
use crate::ids;

/// What to do next for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the row and feed [`claim::Event::ReadDone`] or [`claim::Event::ReadFailed`].
    Read,
    /// Write the row if it still has this version and feed [`claim::Event::WriteDone`].
    Write {
        /// Version that the row must have; 0 means that it must be absent.
        version: ids::RowVersion,
        /// New value.
        row: claim::ClaimRow,
    },
    /// Send the request to this incarnation of this agent, once, and feed
    /// [`claim::Event::Finished`], [`claim::Event::NotRun`] or [`claim::Event::Lost`].
    Dispatch(claim::Target),
    /// Ask the agent what became of an earlier request and feed [`claim::Event::StatusReceived`].
    QueryStatus {
        /// The earlier request.
        request: ids::RequestId,
        /// The agent that was to run it.
        target: claim::Target,
    },
    /// A call or the dispatch is under way; feed its result.
    Pending,
    /// Nothing is left to do; tell the caller.
    Settled(claim::Outcome),
}
