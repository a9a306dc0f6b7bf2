//! Events handled by a batcher.

use crate::store;

/// Input of [`crate::ledger::Batcher::handle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatcherEvent {
    /// Time has elapsed, or records were added.
    Tick,
    /// Write all queued records now, because the window or the process ends.
    Flush,
    /// The requested insert completed with this outcome.
    InsertDone(store::WriteOutcome),
    /// Whether the requested row exists.
    Exists(bool),
    /// The check failed.
    ReadFailed,
}
