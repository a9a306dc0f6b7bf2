//! The row that a lease lives in.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// The row that a lease lives in.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder; empty after the holder gave the lease up.
    pub holder: ids::NodeId,
    /// Incarnation of the holder.
    pub incarnation: ids::Incarnation,
    /// Fencing number; grows by one with every change of holder.
    pub fence: ids::FencingToken,
    /// Number of the write among those of this holder; every attempt has its own, so that a lost
    /// answer can be told from reading the row.
    pub renewals: u64,
}

impl LeaseRow {
    /// Whether the row was given up by its holder.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.holder.is_empty()
    }
}
