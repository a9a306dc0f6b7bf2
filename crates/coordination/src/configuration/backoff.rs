//! When to call the table service next.

use std::time;

use tokio::time::Instant;
use xxhash_rust::xxh3;

/// Most doublings of the interval after failures.
const MAX_DOUBLINGS: u32 = 4;

/// Spreads the calls of many processes: each interval is between half and all of its length,
/// doubled with every failure in a row. The fraction is derived from the process's own seed, so
/// that processes differ and a run can be repeated.
#[derive(Clone, Debug)]
pub struct JitteredBackoff {
    interval: time::Duration,
    seed: u64,
    count: u64,
    failures: u32,
}

impl JitteredBackoff {
    /// A pace for one process; its incarnation is a good seed.
    #[must_use]
    pub const fn new(interval: time::Duration, seed: u64) -> Self {
        Self { interval, seed, count: 0, failures: 0 }
    }

    /// When to call again after a call that succeeded.
    pub fn after_success(&mut self, now: Instant) -> Instant {
        self.failures = 0;
        now + self.spread(self.interval)
    }

    /// When to call again after a call that failed.
    pub fn after_failure(&mut self, now: Instant) -> Instant {
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        now + self.spread(self.interval * 2u32.pow(self.failures))
    }

    /// Between half and all of `span`.
    fn spread(&mut self, span: time::Duration) -> time::Duration {
        self.count += 1;
        let drawn = xxh3::xxh3_64_with_seed(&self.count.to_be_bytes(), self.seed);
        let half = span / 2;
        half + half.mul_f64((drawn >> 11) as f64 / (1u64 << 53) as f64)
    }
}
