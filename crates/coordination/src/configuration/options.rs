//! How stale a process may be.

use std::time;

/// How stale a process may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessOptions {
    /// Longest age of the proof of freshness at which keyed requests are still served.
    pub max_staleness: time::Duration,
    /// How often a proof is sought.
    pub interval: time::Duration,
}

impl FreshnessOptions {
    /// Default longest age of the proof of freshness.
    pub const MAX_STALENESS: time::Duration = time::Duration::from_secs(4);

    /// Default time between two proofs.
    pub const INTERVAL: time::Duration = time::Duration::from_secs(1);

    /// The defaults.
    #[must_use]
    pub const fn new() -> Self {
        Self { max_staleness: Self::MAX_STALENESS, interval: Self::INTERVAL }
    }

    /// Sets the longest age.
    #[must_use]
    pub const fn max_staleness(mut self, age: time::Duration) -> Self {
        self.max_staleness = age;
        self
    }

    /// Sets the time between two proofs.
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
