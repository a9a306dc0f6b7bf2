//! A versioned row.

use crate::ids;

/// A row of the table service with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRow<T> {
    /// Version of the row; 0 if absent.
    pub version: ids::RowVersion,
    /// Value of the row; `None` if absent.
    pub value: Option<T>,
}

impl<T> VersionedRow<T> {
    /// Creates a row that exists.
    #[must_use]
    pub const fn new(version: ids::RowVersion, value: T) -> Self {
        Self { version, value: Some(value) }
    }

    /// Creates a row that does not exist.
    #[must_use]
    pub const fn absent() -> Self {
        Self { version: 0, value: None }
    }
}
