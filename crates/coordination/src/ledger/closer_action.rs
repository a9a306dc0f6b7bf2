//! What the closing of a window asks its caller to do.

use crate::ids;
use crate::ledger;

/// What to do next to close a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloserAction {
    /// Read the row of this window and feed [`ledger::CloserEvent::ReadDone`] or
    /// [`ledger::CloserEvent::Failed`].
    Read(ids::WindowId),
    /// In a transaction that checks the lease, write the row of the window if it still has this
    /// version, and feed [`ledger::CloserEvent::WriteDone`].
    Write {
        /// Version that the row must have.
        version: ids::RowVersion,
        /// New value.
        row: ledger::WindowRow,
    },
    /// Read the next batches of this window, up to any number, and feed them by
    /// [`ledger::CloserEvent::ScanDone`].
    Scan(ids::WindowId),
    /// If the lease allows it now, send this text and feed [`ledger::CloserEvent::Acknowledged`] or
    /// [`ledger::CloserEvent::Failed`].
    Send(String),
    /// A call failed: pause, then feed [`ledger::CloserEvent::Start`].
    Pause,
    /// The window before this one is not frozen yet; close that one first.
    PreviousNotFrozen,
    /// The report is acknowledged; nothing is left to do.
    Done,
}
