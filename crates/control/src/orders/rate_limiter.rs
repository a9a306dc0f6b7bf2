//! Spreads loads over time, because the weight store is rate-limited.

use std::time;

use tokio::time::Instant;

/// Allows one load in each interval.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    interval: time::Duration,
    next: Option<Instant>,
}

impl RateLimiter {
    /// A pace of one load in `interval`.
    #[must_use]
    pub const fn new(interval: time::Duration) -> Self {
        Self { interval, next: None }
    }

    /// Takes the turn of now; answers whether there is one.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        if self.next.is_some_and(|next| now < next) {
            return false;
        }
        self.next = Some(now + self.interval);
        true
    }
}
