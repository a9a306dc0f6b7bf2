//! A token bucket driven by the runtime's clock.

use std::time::Duration;

use tokio::time;

/// A token bucket with a capacity of one second's worth of its rate, but at least one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    tokens: f64,
    updated: time::Instant,
}

impl TokenBucket {
    /// A bucket that was empty when the process started: an earlier process may have taken all that
    /// was in its own.
    pub(super) const fn new(started: time::Instant) -> Self {
        Self { tokens: 0.0, updated: started }
    }

    /// Takes a token for one request.
    ///
    /// # Errors
    ///
    /// The time until a token is available.
    pub(super) fn take(&mut self, rate: f64, now: time::Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed * rate).min(capacity(rate));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / rate))
    }
}

const fn capacity(rate: f64) -> f64 {
    rate.max(1.0)
}
