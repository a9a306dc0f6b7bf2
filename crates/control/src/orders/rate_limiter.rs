//! Limits the rate of model loads, because the weight store is rate-limited.

use std::time;

use tokio::time::Instant;

/// Allows one load per interval.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    interval: time::Duration,
    next: Option<Instant>,
}

impl RateLimiter {
    /// Creates a limiter that allows one load per `interval`.
    #[must_use]
    pub const fn new(interval: time::Duration) -> Self {
        Self { interval, next: None }
    }

    /// Returns whether a load is allowed at `now`, and if so starts the next interval.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        if self.next.is_some_and(|next| now < next) {
            return false;
        }
        self.next = Some(now + self.interval);
        true
    }
}
