//! Rate limit on log lines.

use std::cell;
use std::time::Duration;

use tokio::time;

/// Maximum log lines per second about served requests; this many cost a few percent of the smallest
/// VM's CPU.
const MAX_SERVED_LINES: u32 = 40;

/// Maximum log lines per second about failures.
const MAX_FAILURE_LINES: u32 = 100;

/// Limits log lines per window of one second; lines over the limit are counted and dropped.
#[derive(Debug)]
pub struct Limiter {
    window_start: cell::Cell<time::Instant>,
    served: cell::Cell<u32>,
    failures: cell::Cell<u32>,
    dropped: cell::Cell<u32>,
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}

impl Limiter {
    /// Creates a limiter whose first window starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            window_start: cell::Cell::new(time::Instant::now()),
            served: cell::Cell::new(0),
            failures: cell::Cell::new(0),
            dropped: cell::Cell::new(0),
        }
    }

    /// Counts a line about a served request; returns whether it may be logged.
    pub fn allow_served(&self, now: time::Instant) -> bool {
        self.allow(&self.served, MAX_SERVED_LINES, now)
    }

    /// Counts a line about a failure; returns whether it may be logged.
    pub fn allow_failure(&self, now: time::Instant) -> bool {
        self.allow(&self.failures, MAX_FAILURE_LINES, now)
    }

    fn allow(&self, count: &cell::Cell<u32>, max: u32, now: time::Instant) -> bool {
        if now.saturating_duration_since(self.window_start.get()) >= Duration::from_secs(1) {
            let left_out = self.dropped.take();
            if left_out > 0 {
                tracing::warn!(left_out, "log lines over the bound were left out");
            }
            self.window_start.set(now);
            self.served.set(0);
            self.failures.set(0);
        }
        let allowed = count.get() < max;
        if allowed {
            count.set(count.get() + 1);
        } else {
            self.dropped.set(self.dropped.get() + 1);
        }
        allowed
    }
}
