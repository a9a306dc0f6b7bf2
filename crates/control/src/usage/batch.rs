//! A batch of usage records.

use azuregap_platform::error;
use azuregap_platform::table;
use azuregap_wire::control;
use serde::Deserialize;
use serde::Serialize;

use super::keys;
use crate::process;

/// Records that become durable together. After the first insert attempt only the window may change,
/// and only if it is certain that the batch was not inserted into the previous window.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Batch {
    /// Usage window that the batch is billed in.
    pub window: u64,
    /// Number of the batch, unique within its process.
    pub number: u64,
    /// The records.
    pub records: Vec<control::UsageRecord>,
}

/// Outcome of an insert.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The batch is durable, through this attempt or an earlier one.
    Durable,
    /// The window was already closed; the batch was certainly not inserted.
    WindowClosed,
}

impl Batch {
    /// Inserts the batch unless it exists or its window is closed.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] if the outcome is unknown; the insert can be retried.
    pub async fn insert(
        &self,
        table: &table::Table,
        process: &process::Process,
    ) -> error::PlatformResult<InsertOutcome> {
        let peer = &process.peer;
        let key = keys::batch(self.window, &peer.node, peer.incarnation, self.number);
        let value = serde_json::to_value(self)
            .map_err(|error| error::PlatformError::Refused(error.to_string()))?;
        let transaction = table::Transaction::new()
            .check(key.clone(), 0)
            .check(keys::closed(self.window), 0)
            .put(key.clone(), value);
        match table.commit(transaction).await? {
            table::Commit::Applied(_) => Ok(InsertOutcome::Durable),
            table::Commit::Conflict(rows) if rows.iter().any(|row| row.key == key) => {
                Ok(InsertOutcome::Durable)
            }
            table::Commit::Conflict(_) => Ok(InsertOutcome::WindowClosed),
        }
    }
}
