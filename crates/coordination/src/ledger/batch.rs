//! A batch of records.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::ledger;

/// A batch of records that become durable together.
///
/// The row is inserted on the condition that it and the row of its window are absent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BatchRow {
    /// Window in which the records are billed.
    pub window: ids::WindowId,
    /// Process that wrote the batch.
    pub writer: ids::NodeId,
    /// Incarnation of the writer.
    pub incarnation: ids::Incarnation,
    /// Sequence number of the batch within the incarnation of the writer, from 1.
    pub number: u64,
    /// Records of the batch.
    pub records: Vec<ledger::Record>,
}

impl BatchRow {
    /// Key prefix of all batches of a window.
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
