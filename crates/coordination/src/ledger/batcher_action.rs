//! What a batcher asks its caller to do.

use tokio::time;

use crate::ids;
use crate::ledger;

/// What to do next for a batcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatcherAction {
    /// Insert the batch on the conditions that its row and the row of its window are absent, and
    /// feed [`ledger::BatcherEvent::InsertDone`].
    Insert(ledger::BatchRow),
    /// Look whether the row with this key is there, and feed [`ledger::BatcherEvent::Exists`] or
    /// [`ledger::BatcherEvent::ReadFailed`].
    CheckExists(String),
    /// The records of these requests are durable; copies may be dropped. Feed
    /// [`ledger::BatcherEvent::Tick`] next.
    Durable(Vec<ids::RequestId>),
    /// Feed [`ledger::BatcherEvent::Tick`] at this instant.
    Wait(time::Instant),
    /// Nothing waits to be written, or a call is under way.
    Idle,
}
