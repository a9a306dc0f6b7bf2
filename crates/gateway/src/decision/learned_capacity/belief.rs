//! What is believed of a backend server.

use std::time::Duration;

/// Prompt tokens that an engine reads per millisecond, before anything is known of its service.
pub const INITIAL_PREFILL_RATE: f64 = 25.0;

/// What a gateway believes of one run of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Prompt tokens that it reads per millisecond.
    pub prefill_rate: f64,
    /// Time that it takes for the same work, as a factor of what a typical server of its service
    /// takes; 1 if nothing is known.
    pub slowness: f64,
    /// Requests that it runs at the same time before its callers get worse; `None` if that many
    /// were never seen.
    pub concurrency: Option<f64>,
    /// Age of the newest sample; `None` if the belief is only that of its service.
    pub age: Option<Duration>,
}

impl Default for Belief {
    fn default() -> Self {
        Self { prefill_rate: INITIAL_PREFILL_RATE, slowness: 1.0, concurrency: None, age: None }
    }
}
