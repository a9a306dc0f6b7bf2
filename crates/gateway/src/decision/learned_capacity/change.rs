//! A belief that has changed much.

/// A change of what is believed of a run of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Hash of the backend server's id.
    pub backend: u32,
    /// Its slowness when it was last told.
    pub before: f64,
    /// Its slowness.
    pub slowness: f64,
    /// Requests that it runs before its callers get worse, if that many were seen.
    pub concurrency: Option<f64>,
}
