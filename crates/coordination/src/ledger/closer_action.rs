//! Actions requested by a window closer.

use crate::ids;
use crate::ledger;

/// Next action for the caller of [`ledger::WindowCloser::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloserAction {
    /// Read the row of this window and feed [`ledger::CloserEvent::ReadDone`] or
    /// [`ledger::CloserEvent::Failed`].
    Read(ids::WindowId),
    /// Write the row of the window if its version is unchanged, in a transaction that checks the
    /// lease, and feed [`ledger::CloserEvent::WriteDone`].
    Write {
        /// Required version of the row; 0 if it must be absent.
        version: ids::RowVersion,
        /// New value.
        row: ledger::WindowRow,
    },
    /// Read the next batches of this window, any number at a time, and feed
    /// [`ledger::CloserEvent::ScanDone`].
    Scan(ids::WindowId),
    /// Send this text if the lease is valid at this moment, and feed
    /// [`ledger::CloserEvent::Acknowledged`] or [`ledger::CloserEvent::Failed`].
    Send(String),
    /// A call failed: wait, then feed [`ledger::CloserEvent::Start`].
    Pause,
    /// The report of the previous window is not frozen yet; close that window first.
    PreviousNotFrozen,
    /// The report is acknowledged, and the window is complete.
    Done,
}
