//! Events handled by the lease state machine.

use crate::lease;
use crate::store;

/// Input of [`lease::Lease::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has elapsed.
    Tick,
    /// The row was read.
    ReadDone(store::VersionedRow<lease::LeaseRow>),
    /// The read failed.
    ReadFailed,
    /// The requested write completed with this outcome.
    WriteDone(store::WriteOutcome),
    /// The process is shutting down: stop acting and release the row, so that a successor does
    /// not have to wait for the term to expire.
    Resign,
}
