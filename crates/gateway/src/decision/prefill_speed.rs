//! How fast model engines read prompts, and whether a request can still be on time.

use std::time::Duration;

/// Weight of the newest observation.
const SMOOTHING: f64 = 0.05;

/// Less work than this says little about the speed, in prompt tokens.
const LEAST_WORK: u64 = 2_000;

/// Speed before anything was observed, in prompt tokens a millisecond. Source: the sample engines,
/// which read 1,024 tokens in a step of about 40 ms.
const FIRST_SPEED: f64 = 25.0;

/// Observed speed of the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSpeed {
    speed: f64,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self { speed: FIRST_SPEED }
    }
}

impl PrefillSpeed {
    /// Takes the time in which an engine read `work` prompt tokens.
    pub fn observe(&mut self, work: u64, took: Duration) {
        let millis = took.as_secs_f64() * 1_000.0;
        if work >= LEAST_WORK && millis > 1.0 {
            self.speed += SMOOTHING * ((work as f64 / millis).min(FIRST_SPEED * 4.0) - self.speed);
        }
    }

    /// Whether a request that has waited for `spent` misses its `goal` if `work` prompt tokens are
    /// read before its first event.
    #[must_use]
    pub fn is_late(&self, spent: Duration, work: u64, goal: Duration) -> bool {
        spent + self.prefill_time(work) > goal
    }

    /// Time in which an engine reads `work` prompt tokens.
    #[must_use]
    pub fn prefill_time(&self, work: u64) -> Duration {
        Duration::from_secs_f64(work as f64 / self.speed.max(1.0) / 1_000.0)
    }
}
