//! A limit as it is kept in the store.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A limit as it is kept in the store, for a fleet whose processes all end at once.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SavedLimit {
    /// Hash of the backend server's id.
    pub backend_hash: u32,
    /// Start of the run, in milliseconds since 1970.
    pub started_ms: u64,
    /// Requests per second.
    pub limit: f64,
    /// Time of day, since 1970.
    pub saved_at: Duration,
}
