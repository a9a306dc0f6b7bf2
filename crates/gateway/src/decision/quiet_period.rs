//! Decides when a backend server that asked for a quiet period gets requests again.
//!
//! A backend server that rejects a request may say for how long it wants no others. This gateway
//! then sends it none, and after the period a single one: further requests follow when it has
//! accepted that one. This handles backend servers that are overloaded or start up, which would
//! otherwise get all waiting requests at the end of the period.
//!
//! ```
//! use azuregap_gateway::decision::quiet_period;
//! use tokio::time;
//!
//! let start = time::Instant::now();
//! let mut quiet = quiet_period::QuietPeriod::new();
//! quiet.start(time::Duration::from_secs(2), start);
//! assert!(!quiet.admits(start + time::Duration::from_secs(1)));
//! let end = start + time::Duration::from_secs(2);
//! assert!(quiet.admits(end));
//! quiet.record_send(end);
//! assert!(!quiet.admits(end));
//! quiet.record_acceptance();
//! assert!(quiet.admits(end));
//! ```

use std::time::Duration;

use tokio::time;

/// Longest period that is respected, so that a malformed one doesn't exclude a server for good.
pub const MAX_PERIOD: Duration = Duration::from_secs(600);

/// Time after which another single request is sent if the previous one has not been accepted.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a backend server gets requests, as far as it asked for a quiet period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuietPeriod {
    /// End of the newest period, until a request was accepted after it.
    ends_at: Option<time::Instant>,
    /// When the last single request after the period was sent.
    trial_at: Option<time::Instant>,
}

impl QuietPeriod {
    /// Creates a state in which all requests are admitted.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a quiet period; an earlier one that ends later stays in force.
    pub fn start(&mut self, length: Duration, now: time::Instant) {
        let ends_at = now + length.min(MAX_PERIOD);
        self.ends_at = Some(self.ends_at.map_or(ends_at, |earlier| earlier.max(ends_at)));
        self.trial_at = None;
    }

    /// Whether the backend server may get a request.
    #[must_use]
    pub fn admits(&self, now: time::Instant) -> bool {
        let Some(ends_at) = self.ends_at else { return true };
        let awaits_trial = self.trial_at.is_some_and(|at| now < at + TRIAL_INTERVAL);
        now >= ends_at && !awaits_trial
    }

    /// Records that a request is sent; after a quiet period no other follows for a while.
    pub fn record_send(&mut self, now: time::Instant) {
        if self.ends_at.is_some_and(|ends_at| now >= ends_at) {
            self.trial_at = Some(now);
        }
    }

    /// Records that the backend server accepted a request that was sent after the quiet period.
    pub fn record_acceptance(&mut self) {
        if self.trial_at.is_some() {
            *self = Self::default();
        }
    }

    /// Time until the backend server may get a request.
    #[must_use]
    pub fn time_left(&self, now: time::Instant) -> Duration {
        let trial_ends = self.trial_at.map(|at| at + TRIAL_INTERVAL);
        let until = self.ends_at.max(trial_ends);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
