//! A batch of usage records.

use azuregap_platform::error;
use azuregap_platform::table;
use azuregap_wire::control;
use serde::Deserialize;
use serde::Serialize;

use super::keys;
use crate::process;

/// Records that become durable together. Once tried, only its window may change, and only after
/// it is certain that it was not inserted under the earlier one.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Batch {
    /// Window it is billed in.
    pub window: u64,
    /// Number of the batch, unique to its process.
    pub number: u64,
    /// The records.
    pub records: Vec<control::UsageRecord>,
}

/// What became of an insert.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The batch is durable, now or since an earlier try.
    Durable,
    /// Its window was closed before it; certainly not inserted.
    WindowClosed,
}

impl Batch {
    /// Inserts the batch unless it is there or its window was closed.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when the outcome is not known; the same insert may be tried again.
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
