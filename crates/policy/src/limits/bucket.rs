//! A token bucket on the runtime's clock.

use std::time::Duration;

use tokio::time;

/// A token bucket that holds one second's worth of its rate, and one request at least.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    level: f64,
    at: time::Instant,
}

impl Bucket {
    pub(super) const fn full(rate: f64, now: time::Instant) -> Self {
        Self { level: depth(rate), at: now }
    }

    /// Takes one request, or tells when one will be there.
    pub(super) fn take(&mut self, rate: f64, now: time::Instant) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + passed * rate).min(depth(rate));
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.level) / rate))
    }
}

const fn depth(rate: f64) -> f64 {
    rate.max(1.0)
}
