//! How stale a process may be.

use std::time;

/// How stale a process may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessRules {
    /// Longest age of the proof of freshness at which keyed requests are still served.
    pub max_stale: time::Duration,
    /// How often a proof is sought.
    pub interval: time::Duration,
}

impl FreshnessRules {
    /// Default longest age of the proof of freshness.
    pub const MAX_STALE: time::Duration = time::Duration::from_secs(4);

    /// Default time between two proofs.
    pub const INTERVAL: time::Duration = time::Duration::from_secs(1);

    /// The defaults.
    #[must_use]
    pub const fn new() -> Self {
        Self { max_stale: Self::MAX_STALE, interval: Self::INTERVAL }
    }

    /// Sets the longest age.
    #[must_use]
    pub const fn max_stale(mut self, age: time::Duration) -> Self {
        self.max_stale = age;
        self
    }

    /// Sets the time between two proofs.
    #[must_use]
    pub const fn interval(mut self, interval: time::Duration) -> Self {
        self.interval = interval;
        self
    }
}

impl Default for FreshnessRules {
    fn default() -> Self {
        Self::new()
    }
}
