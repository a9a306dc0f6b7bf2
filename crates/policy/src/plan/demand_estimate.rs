//! Demand estimate that rises at once and decays slowly.

use std::time;

use tokio::time::Instant;

/// Time in which the excess of the estimate over the observed rate halves.
const HALF_LIFE: time::Duration = time::Duration::from_secs(300);

/// Estimates the demand from observed rates. It decays slowly so that a short pause in the demand
/// stops no backend server.
#[derive(Clone, Copy, Debug)]
pub struct DemandEstimate {
    rate: f64,
    observed: Instant,
}

impl DemandEstimate {
    /// An estimate that starts at `rate` at the time `now`.
    #[must_use]
    pub const fn new(rate: f64, now: Instant) -> Self {
        Self { rate, observed: now }
    }

    /// Adds the rate observed at the time `now`.
    pub fn observe(&mut self, rate: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.observed);
        let half_lives = elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64();
        let weight = 0.5_f64.powf(half_lives);
        self.rate = rate.max(rate + (self.rate - rate) * weight);
        self.observed = now;
    }

    /// The estimated rate, in the unit of the observed rates.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }
}
