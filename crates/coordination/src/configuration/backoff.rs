//! Jittered exponential backoff for periodic calls.

use std::time;

use tokio::time::Instant;
use xxhash_rust::xxh3;

/// Maximum number of doublings of the interval after failures.
const MAX_DOUBLINGS: u32 = 4;

/// Schedules the periodic calls of a process so that the calls of many processes are spread out.
///
/// The delay is drawn between half of the interval and the interval, and doubles with every
/// consecutive failure. It is derived from a seed, so that processes differ and runs are
/// reproducible.
#[derive(Clone, Debug)]
pub struct JitteredBackoff {
    interval: time::Duration,
    seed: u64,
    count: u64,
    failures: u32,
}

impl JitteredBackoff {
    /// Creates the backoff of a process; the incarnation of the process is a suitable seed.
    #[must_use]
    pub const fn new(interval: time::Duration, seed: u64) -> Self {
        Self { interval, seed, count: 0, failures: 0 }
    }

    /// When to make the next call after a successful one.
    pub fn after_success(&mut self, now: Instant) -> Instant {
        self.failures = 0;
        now + self.jittered(self.interval)
    }

    /// When to make the next call after a failed one.
    pub fn after_failure(&mut self, now: Instant) -> Instant {
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        now + self.jittered(self.interval * 2u32.pow(self.failures))
    }

    /// Draws a delay between half of `interval` and `interval`.
    fn jittered(&mut self, interval: time::Duration) -> time::Duration {
        self.count += 1;
        let drawn = xxh3::xxh3_64_with_seed(&self.count.to_be_bytes(), self.seed);
        let half = interval / 2;
        half + half.mul_f64((drawn >> 11) as f64 / (1u64 << 53) as f64)
    }
}
