//! The newest configuration in the table service.

use azuregap_platform::error;
use azuregap_platform::table;
use tokio::time;

use super::row;
use super::unresolved;
use crate::snapshot;

/// Reads the configuration row, and puts what it reads in force.
#[derive(Clone, Debug)]
pub struct Source {
    table: table::Table,
    snapshot: snapshot::Handle,
    unresolved: unresolved::UnresolvedChanges,
}

/// The configuration row with the version of the row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// Version of the row in the table; 0 when there is none.
    pub row: u64,
    /// The value.
    pub value: row::ConfigurationRow,
}

impl Source {
    /// Reads from `table` into `snapshot`.
    #[must_use]
    pub const fn new(
        table: table::Table,
        snapshot: snapshot::Handle,
        unresolved: unresolved::UnresolvedChanges,
    ) -> Self {
        Self { table, snapshot, unresolved }
    }

    /// The table.
    #[must_use]
    pub const fn table(&self) -> &table::Table {
        &self.table
    }

    /// Begins a change of the row.
    #[must_use]
    pub fn begin(&self) -> unresolved::PendingChange {
        self.unresolved.begin()
    }

    /// Reads the row once; what it holds was the newest when the read was sent.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when the table gave no configuration that can be read.
    pub async fn read(&self) -> error::PlatformResult<Stored> {
        let sent = time::Instant::now();
        let stored = match self.table.read(row::CURRENT).await? {
            None => Stored::default(),
            Some(row) => {
                let value = serde_json::from_value(row.value).map_err(unreadable)?;
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

    /// Puts an accepted row in force at this process.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError::Refused`] when its text is no intent.
    pub fn apply(&self, row: &row::ConfigurationRow) -> error::PlatformResult<()> {
        if row.version > self.snapshot.load().version {
            let snapshot = row.snapshot().map_err(unreadable)?;
            self.snapshot.advance(snapshot);
            tracing::info!(version = row.version, by = row.by, "configuration in force");
        }
        Ok(())
    }
}

fn unreadable(reason: impl ToString) -> error::PlatformError {
    error::PlatformError::Refused(reason.to_string())
}
