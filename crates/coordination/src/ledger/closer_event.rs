//! What the closing of a window is told.

use crate::ledger;
use crate::store;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloserEvent {
    /// Begin, or begin again after a pause or a change of the lease holder.
    Start,
    /// The row that was read.
    ReadDone(store::VersionedRow<ledger::WindowRow>),
    /// The outcome of the write.
    WriteDone(store::WriteOutcome),
    /// Batches of the window that is scanned.
    ScanDone {
        /// Some of them.
        rows: Vec<ledger::BatchRow>,
        /// Whether these are the last.
        last: bool,
    },
    /// The report was acknowledged.
    Acknowledged,
    /// A read, scan or send gave no result.
    Failed,
}
