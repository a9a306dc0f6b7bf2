//! What a batcher is told.

use crate::store;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatcherEvent {
    /// Time has passed, or records were added.
    Tick,
    /// Write what there is without waiting for more; the window or the process ends.
    Flush,
    /// The outcome of the insert that was asked for.
    InsertDone(store::WriteOutcome),
    /// Whether the row that was looked for is there.
    Exists(bool),
    /// It could not be read.
    ReadFailed,
}
