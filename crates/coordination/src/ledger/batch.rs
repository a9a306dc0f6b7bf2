//! Records that became durable together.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::ledger;

/// Records that became durable together.
///
/// It is inserted on the conditions that its own row and the row of its window are absent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BatchRow {
    /// The window in which the records are billed.
    pub window: ids::WindowId,
    /// The process that wrote the batch.
    pub writer: ids::NodeId,
    /// Incarnation of the writer.
    pub incarnation: ids::Incarnation,
    /// Number of the batch among those of this incarnation, from 1.
    pub number: u64,
    /// The records.
    pub records: Vec<ledger::Record>,
}

impl BatchRow {
    /// Prefix of the keys of all batches of a window.
    #[must_use]
    pub fn prefix(window: ids::WindowId) -> String {
        format!("usage/{window:012}/")
    }

    /// Key of the row.
    #[must_use]
    pub fn key(&self) -> String {
        let prefix = Self::prefix(self.window);
        format!("{prefix}{}/{:016x}/{:010}", self.writer, self.incarnation, self.number)
    }
}
