//! What a lease is told.

use crate::lease;
use crate::store;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The row as it was read.
    ReadDone(store::VersionedRow<lease::LeaseRow>),
    /// The row could not be read.
    ReadFailed,
    /// The outcome of the write that was asked for.
    WriteDone(store::WriteOutcome),
    /// The process is about to stop: act no more and release the row, so that a successor need
    /// not wait for a whole term.
    Resign,
}
