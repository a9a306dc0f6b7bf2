//! A row as it was read.

use crate::ids;

/// A row as it was read from the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRow<T> {
    /// Version of the row; 0 means absent.
    pub version: ids::RowVersion,
    /// Value of the row; none when it is absent.
    pub value: Option<T>,
}

impl<T> VersionedRow<T> {
    /// A row that is there.
    #[must_use]
    pub const fn new(version: ids::RowVersion, value: T) -> Self {
        Self { version, value: Some(value) }
    }

    /// A row that is not there.
    #[must_use]
    pub const fn absent() -> Self {
        Self { version: 0, value: None }
    }
}
