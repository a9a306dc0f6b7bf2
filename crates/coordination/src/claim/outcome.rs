//! Outcome of a claim.

use crate::claim;

/// Outcome of a request with an idempotency key, to be reported to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// This request ran, with the response from [`claim::Event::Finished`].
    Ran {
        /// Whether the response is in the row, where retries find it.
        stored: bool,
    },
    /// An earlier request ran, with this response.
    Replayed(claim::StoredResponse),
    /// An earlier request is still running; retry later.
    Running,
    /// It cannot be determined, at present or permanently, whether the work was run.
    Unknown,
    /// The key was used for a different request.
    KeyReused,
    /// Nothing was run under this key, and the row records that; a retry may run it.
    NotRun(claim::NotRunReason),
    /// This request was not run. The row could not be read or written, so another request with
    /// the same key may have been run.
    NotAttempted(claim::NotRunReason),
}
