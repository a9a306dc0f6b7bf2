//! How a claim ended.

use crate::claim;

/// What the caller of a request with an idempotency key is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// This request ran. Its answer is the one that was fed; `stored` tells whether repeats will
    /// find it in the row.
    Ran {
        /// Whether the row holds the answer.
        stored: bool,
    },
    /// An earlier request ran; this was its answer.
    Replayed(claim::StoredResponse),
    /// An earlier request is running; ask again later.
    Running,
    /// Whether the work ran cannot be learnt (now, or for ever).
    Unknown,
    /// The key was used with another body.
    KeyReused,
    /// Nothing was run under this key, and the row says so; a repeat may run it.
    NotRun(claim::NotRunReason),
    /// This request was not run, but the row could not be read or written, so that another
    /// request with the same key may have been.
    NotAttempted(claim::NotRunReason),
}
