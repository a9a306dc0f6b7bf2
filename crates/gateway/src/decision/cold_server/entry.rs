//! What the entry of a backend server says that matters for its cold start.

use std::time::Duration;

/// What the entry of a backend server says that matters for its cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Start of the run, in milliseconds since 1970.
    pub started_ms: u64,
    /// How long it stays cold; zero if it is warm, `None` if the entry doesn't say how long.
    pub cold_left: Option<Duration>,
    /// How long ago a run that isn't known yet has started at least.
    pub age: Duration,
}
