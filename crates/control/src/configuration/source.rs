//! Reading the newest configuration from the table service.

use azuregap_platform::error;
use azuregap_platform::table;
use tokio::time;

use super::row;
use crate::snapshot;

/// Reads the configuration row into a snapshot handle.
#[derive(Clone, Debug)]
pub struct Source {
    table: table::Table,
    snapshot: snapshot::Handle,
}

impl Source {
    /// Reads from `table` into `snapshot`.
    #[must_use]
    pub const fn new(table: table::Table, snapshot: snapshot::Handle) -> Self {
        Self { table, snapshot }
    }

    /// Reads the row once; what it holds was the newest when the read was sent.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when the table gave no configuration that can be read.
    pub async fn read(&self) -> error::PlatformResult<()> {
        let sent = time::Instant::now();
        if let Some(row) = self.table.read(row::CURRENT).await? {
            let row: row::ConfigurationRow =
                serde_json::from_value(row.value).map_err(unreadable)?;
            let snapshot = row.snapshot().map_err(unreadable)?;
            if self.snapshot.advance(snapshot) {
                tracing::info!(version = row.version, by = row.by, "configuration in force");
            }
        }
        self.snapshot.prove_fresh(sent);
        Ok(())
    }
}

fn unreadable(reason: impl ToString) -> error::PlatformError {
    error::PlatformError::Refused(reason.to_string())
}
