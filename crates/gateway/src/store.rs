//! The store that outlives every process, as the gateway needs it.
//!
//! A [`Store`] is three closures, so that tests put a map in its place.

use std::fmt;
use std::time::Duration;

use azuregap_coordination::ids;
use futures::future;
use quick_error::quick_error;

quick_error! {
    /// Why a call to the store failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum StoreError {
        /// The history since the version asked for is gone; read everything again.
        Compacted {
            display("6101: the store no longer has the history asked for")
        }
        /// A condition of a commit did not hold; nothing was written.
        Conflict(rows: Vec<Row>) {
            display("6102: the rows were changed by another process")
        }
        /// The store refused the call; nothing was done.
        Refused(status: u16) {
            display("6103: the store refused the call with status {}", status)
        }
        /// No usable answer; the call may have been carried out or may be later.
        OutcomeUnknown(reason: String) {
            display("6104: no answer from the store: {}", reason)
        }
    }
}

/// A set of rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Table {
    /// The operator's configuration.
    Configuration,
    /// The backend servers' own entries.
    Backends,
    /// Gateways that are running.
    Gateways,
    /// Lease and usage reports.
    Usage,
}

/// One row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key in its table.
    pub key: String,
    /// Content; none if the row was removed.
    pub data: Option<Vec<u8>>,
    /// Version of the row.
    pub version: ids::RowVersion,
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// The rows, by key or in the order of their changes.
    pub rows: Vec<Row>,
    /// Newest version of the store at that moment.
    pub version: ids::RowVersion,
}

/// One row to write under a condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New content; none removes the row.
    pub data: Option<Vec<u8>>,
    /// Version that the row must have, 0 if it must not exist; none if any.
    pub expected_version: Option<ids::RowVersion>,
}

/// A transaction over rows of one table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// The table.
    pub table: Table,
    /// The writes; all or none are applied.
    pub writes: Vec<Write>,
    /// Rows that must have a version but are not written.
    pub preconditions: Vec<(String, ids::RowVersion)>,
}

/// Result of a call to the store.
pub type StoreFuture<T> = future::LocalBoxFuture<'static, Result<T, StoreError>>;

type Read = Box<dyn Fn(Table) -> StoreFuture<Rows>>;
type Watch = Box<dyn Fn(Table, ids::RowVersion, Duration) -> StoreFuture<Rows>>;
type Apply = Box<dyn Fn(Commit) -> StoreFuture<ids::RowVersion>>;

/// Client of the store.
pub struct Store {
    /// Reads all rows of a table.
    pub read: Read,
    /// Returns the rows changed since a version, waiting for the first up to the given time.
    pub watch: Watch,
    /// Applies a transaction and returns the new version of the written rows.
    pub commit: Apply,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}
