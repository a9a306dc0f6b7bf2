//! Status of an earlier request.

use crate::claim;

/// Status of the request that holds a claim, as reported by the agent named in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// The request is queued or running.
    Running,
    /// The request ran, with this response.
    Done(claim::StoredResponse),
    /// The request was certainly not run, and this incarnation of the agent rejects it from now
    /// on. An agent that has discarded requests that it ran must not report this for unknown ids.
    NotRun,
    /// The incarnation named in the claim no longer exists.
    IncarnationGone,
    /// The agent did not respond or does not know.
    Unknown,
}
