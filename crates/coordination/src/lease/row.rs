//! The lease row.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// Durable state of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name of the holder; empty once the holder has released the lease.
    pub holder: ids::NodeId,
    /// Incarnation of the holder.
    pub incarnation: ids::Incarnation,
    /// Fencing token; increases with every change of holder.
    pub fence: ids::FencingToken,
    /// Sequence number of the write among those of the holder. It is unique per attempt, so that
    /// reading the row shows whether a write whose response was lost was applied.
    pub renewals: u64,
    /// Era of the table service that the holder knew when it wrote the row.
    #[serde(default)]
    pub era: ids::Era,
}

impl LeaseRow {
    /// Whether the holder released the lease.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.holder.is_empty()
    }
}
