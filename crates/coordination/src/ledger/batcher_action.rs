//! Actions requested by a batcher.

use tokio::time;

use crate::ids;
use crate::ledger;

/// Next action for the caller of [`ledger::Batcher::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatcherAction {
    /// Insert the batch on the condition that its row and the row of its window are absent, and
    /// feed [`ledger::BatcherEvent::InsertDone`].
    Insert(ledger::BatchRow),
    /// Check whether a row with this key exists, and feed [`ledger::BatcherEvent::Exists`] or
    /// [`ledger::BatcherEvent::ReadFailed`].
    CheckExists(String),
    /// The records of these requests are durable, and copies may be discarded. Feed
    /// [`ledger::BatcherEvent::Tick`] next.
    Durable(Vec<ids::RequestId>),
    /// Feed [`ledger::BatcherEvent::Tick`] at this instant.
    Wait(time::Instant),
    /// No record is queued, or a call is in progress.
    Idle,
}
