//! The budget of reads that all parts of a process share.

use std::time;

use tokio::time::Instant;

/// A token bucket: at most `burst` reads at once and one more every `interval`.
#[derive(Clone, Debug)]
pub struct ReadBudget {
    interval: time::Duration,
    burst: u32,
    /// When the bucket would be full again.
    full_at: Option<Instant>,
}

impl ReadBudget {
    /// A full bucket.
    #[must_use]
    pub const fn new(interval: time::Duration, burst: u32) -> Self {
        Self { interval, burst, full_at: None }
    }

    /// Takes one read.
    ///
    /// # Errors
    ///
    /// The instant at which the next read is allowed, if none is allowed now.
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
