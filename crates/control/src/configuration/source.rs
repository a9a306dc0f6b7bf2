//! Reads the current configuration from the table service.

use azuregap_platform::error;
use azuregap_platform::table;
use tokio::time;

use super::row;
use super::unresolved;
use crate::snapshot;

/// Reads the configuration row and activates its configuration.
#[derive(Clone, Debug)]
pub struct Source {
    table: table::Table,
    snapshot: snapshot::Handle,
    unresolved: unresolved::UnresolvedChanges,
}

/// The configuration row with its row version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// Row version in the table; 0 if the row does not exist.
    pub row: u64,
    /// Value of the row.
    pub value: row::ConfigurationRow,
}

impl Source {
    /// Creates a source that reads from `table` into `snapshot`.
    #[must_use]
    pub const fn new(
        table: table::Table,
        snapshot: snapshot::Handle,
        unresolved: unresolved::UnresolvedChanges,
    ) -> Self {
        Self { table, snapshot, unresolved }
    }

    /// Returns the table client.
    #[must_use]
    pub const fn table(&self) -> &table::Table {
        &self.table
    }

    /// Starts a change of the row.
    #[must_use]
    pub fn begin(&self) -> unresolved::PendingChange {
        self.unresolved.begin()
    }

    /// Reads and activates the row. Its configuration was the newest when the read was sent.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] if the row cannot be read or decoded.
    pub async fn read(&self) -> error::PlatformResult<Stored> {
        let sent = time::Instant::now();
        let stored = match self.table.read(row::CURRENT).await? {
            None => Stored::default(),
            Some(row) => {
                let value = serde_json::from_value(row.value).map_err(decode_error)?;
                Stored { row: row.version, value }
            }
        };
        if stored.value.version > 0 {
            self.apply(&stored.value)?;
        }
        self.unresolved.resolve_before(sent);
        self.snapshot.mark_fresh(sent);
        Ok(stored)
    }

    /// Activates a committed row in this process, if it is newer.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError::Refused`] if its text is not a valid intent.
    pub fn apply(&self, row: &row::ConfigurationRow) -> error::PlatformResult<()> {
        if row.version > self.snapshot.load().version {
            let snapshot = row.snapshot().map_err(decode_error)?;
            self.snapshot.advance(snapshot);
            tracing::info!(version = row.version, by = row.by, "configuration in force");
        }
        Ok(())
    }
}

fn decode_error(reason: impl ToString) -> error::PlatformError {
    error::PlatformError::Refused(reason.to_string())
}
