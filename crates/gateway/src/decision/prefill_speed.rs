//! Estimates how fast model engines read prompts, and whether a request can still be on time.

use std::time::Duration;

use super::learned_capacity;

/// Weight of the newest sample.
const SMOOTHING: f64 = 0.05;

/// Samples with less work than this, in prompt tokens, say little about the speed and are ignored.
const MIN_SAMPLE_TOKENS: u64 = 2_000;

/// Samples beyond this multiple of the initial speed are held to it: the prompt was cached rather than
/// read.
const MAX_FACTOR: f64 = 4.0;

/// Observed prefill speed of the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSpeed {
    speed: f64,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self { speed: learned_capacity::INITIAL_PREFILL_RATE }
    }
}

impl PrefillSpeed {
    /// Records the time that an engine took to read `work` prompt tokens.
    pub fn observe(&mut self, work: u64, took: Duration) {
        let millis = took.as_secs_f64() * 1_000.0;
        if work >= MIN_SAMPLE_TOKENS && millis > 1.0 {
            let max = learned_capacity::INITIAL_PREFILL_RATE * MAX_FACTOR;
            self.speed += SMOOTHING * ((work as f64 / millis).min(max) - self.speed);
        }
    }

    /// Prompt tokens that an engine reads per millisecond.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.speed
    }

    /// Whether a request that has waited for `spent` misses its latency target if `work` prompt
    /// tokens are read before its first event.
    #[must_use]
    pub fn is_late(&self, spent: Duration, work: u64, target: Duration) -> bool {
        spent + self.prefill_time(work) > target
    }

    /// Time in which an engine reads `work` prompt tokens.
    #[must_use]
    pub fn prefill_time(&self, work: u64) -> Duration {
        Duration::from_secs_f64(work as f64 / self.speed.max(1.0) / 1_000.0)
    }
}
