//! A bound on the volume of log lines.

use std::cell;
use std::time::Duration;

use tokio::time;

/// Limiter on served requests in one second. Source: a few percent of the smallest VM's processor.
const SERVED_LINES: u32 = 40;

/// Limiter on failures in one second.
const FAILURE_LINES: u32 = 100;

/// Counts the lines of the present second; what is over the bound is counted, not written.
#[derive(Debug)]
pub struct Limiter {
    since: cell::Cell<time::Instant>,
    served: cell::Cell<u32>,
    failures: cell::Cell<u32>,
    left_out: cell::Cell<u32>,
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}

impl Limiter {
    /// No line written yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            since: cell::Cell::new(time::Instant::now()),
            served: cell::Cell::new(0),
            failures: cell::Cell::new(0),
            left_out: cell::Cell::new(0),
        }
    }

    /// Whether a line on a served request may be written.
    pub fn allow_served(&self, now: time::Instant) -> bool {
        self.take(&self.served, SERVED_LINES, now)
    }

    /// Whether a line on a failure may be written.
    pub fn allow_failure(&self, now: time::Instant) -> bool {
        self.take(&self.failures, FAILURE_LINES, now)
    }

    fn take(&self, count: &cell::Cell<u32>, most: u32, now: time::Instant) -> bool {
        if now.saturating_duration_since(self.since.get()) >= Duration::from_secs(1) {
            let left_out = self.left_out.take();
            if left_out > 0 {
                tracing::warn!(left_out, "log lines over the bound were left out");
            }
            self.since.set(now);
            self.served.set(0);
            self.failures.set(0);
        }
        let free = count.get() < most;
        if free {
            count.set(count.get() + 1);
        } else {
            self.left_out.set(self.left_out.get() + 1);
        }
        free
    }
}
