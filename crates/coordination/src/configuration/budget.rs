//! Rate limit of the reads of a process.

use std::time;

use tokio::time::Instant;

/// A token bucket that allows bursts of `burst` reads and refills one read per `interval`.
#[derive(Clone, Debug)]
pub struct ReadBudget {
    interval: time::Duration,
    burst: u32,
    /// When the bucket will be full again.
    full_at: Option<Instant>,
}

impl ReadBudget {
    /// Creates a full bucket.
    #[must_use]
    pub const fn new(interval: time::Duration, burst: u32) -> Self {
        Self { interval, burst, full_at: None }
    }

    /// Takes a token for one read.
    ///
    /// # Errors
    ///
    /// Returns the instant at which the next read is allowed if the bucket is empty.
    pub fn try_acquire(&mut self, now: Instant) -> Result<(), Instant> {
        let full_at = self.full_at.map_or(now, |at| at.max(now));
        let filled = full_at + self.interval;
        let limit = now + self.interval * self.burst;
        if filled > limit {
            return Err(now + (filled - limit));
        }
        self.full_at = Some(filled);
        Ok(())
    }
}
