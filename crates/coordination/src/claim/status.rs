//! What an agent says of an earlier request.

use crate::claim;

/// What the agent named in a claim says of the request that holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// It waits or runs.
    Running,
    /// It ran; this was its answer.
    Done(claim::StoredResponse),
    /// It certainly did not run, and this incarnation of the agent will refuse it from now on. An
    /// agent that has forgotten requests that it ran must not say so of an id it does not know.
    NotRun,
    /// The incarnation that is named in the claim is gone.
    IncarnationGone,
    /// The agent did not answer, or cannot tell.
    Unknown,
}
