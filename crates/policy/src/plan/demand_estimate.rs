//! DemandEstimate of a rate that rises at once and falls slowly.

use std::time;

use tokio::time::Instant;

/// Time in which an estimate above what is seen falls by half.
const HALF_LIFE: time::Duration = time::Duration::from_secs(300);

/// Estimates the demand from what is seen, so that a short pause stops no backend server.
#[derive(Clone, Copy, Debug)]
pub struct DemandEstimate {
    rate: f64,
    at: Instant,
}

impl DemandEstimate {
    /// An estimate that starts with `rate` at `now`.
    #[must_use]
    pub const fn new(rate: f64, now: Instant) -> Self {
        Self { rate, at: now }
    }

    /// Takes in that `rate` was seen at `now`.
    pub fn observe(&mut self, rate: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.at);
        let halves = passed.as_secs_f64() / HALF_LIFE.as_secs_f64();
        let weight = 0.5_f64.powf(halves);
        self.rate = rate.max(rate + (self.rate - rate) * weight);
        self.at = now;
    }

    /// The estimate, in the unit of what was observed.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }
}
