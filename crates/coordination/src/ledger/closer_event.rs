//! Events handled by a window closer.

use crate::ledger;
use crate::store;

/// Input of [`ledger::WindowCloser::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloserEvent {
    /// Start, or restart after a pause or a change of the lease holder.
    Start,
    /// The requested row was read.
    ReadDone(store::VersionedRow<ledger::WindowRow>),
    /// The requested write completed with this outcome.
    WriteDone(store::WriteOutcome),
    /// Batches of the requested window were read.
    ScanDone {
        /// The next batches.
        rows: Vec<ledger::BatchRow>,
        /// Whether these are the last batches of the window.
        last: bool,
    },
    /// The report was acknowledged.
    Acknowledged,
    /// A read, scan or send failed.
    Failed,
}
