//! A limit that the store doesn't have yet, or still has.

/// A limit that the store doesn't have yet, or still has although it has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Unsaved {
    /// Hash of the backend server's id.
    pub backend_hash: u32,
    /// Start of the run, in milliseconds since 1970.
    pub started_ms: u64,
    /// Requests per second; `None` if the limit has ended.
    pub limit: Option<f64>,
}
