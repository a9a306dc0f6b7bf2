//! Options of the staleness bound.

use std::time;

/// Options of the staleness bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessOptions {
    /// Maximum age of the proof of freshness for serving requests that require an API key.
    pub max_staleness: time::Duration,
    /// Interval at which the proof is renewed.
    pub interval: time::Duration,
}

impl FreshnessOptions {
    /// Default maximum age of the proof of freshness.
    pub const MAX_STALENESS: time::Duration = time::Duration::from_secs(4);

    /// Default interval at which the proof is renewed.
    pub const INTERVAL: time::Duration = time::Duration::from_secs(1);

    /// Creates the default options.
    #[must_use]
    pub const fn new() -> Self {
        Self { max_staleness: Self::MAX_STALENESS, interval: Self::INTERVAL }
    }

    /// Sets the maximum age of the proof.
    #[must_use]
    pub const fn max_staleness(mut self, age: time::Duration) -> Self {
        self.max_staleness = age;
        self
    }

    /// Sets the interval at which the proof is renewed.
    #[must_use]
    pub const fn interval(mut self, interval: time::Duration) -> Self {
        self.interval = interval;
        self
    }
}

impl Default for FreshnessOptions {
    fn default() -> Self {
        Self::new()
    }
}
