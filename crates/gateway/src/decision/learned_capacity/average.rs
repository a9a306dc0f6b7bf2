//! A mean that forgets.

use std::time::Duration;

use tokio::time;

/// Standard errors by which a mean must differ from zero before it counts.
const CONFIDENCE: f64 = 2.0;

/// Difference that is never counted: requests differ by about that much beyond chance.
const MIN_DIFFERENCE: f64 = 0.1;

/// Mean of samples, each of which counts half as much after every half-life.
#[derive(Clone, Copy, Debug)]
pub(super) struct Average {
    half_life: Duration,
    weight: f64,
    mean: f64,
    at: Option<time::Instant>,
}

impl Average {
    /// Creates a mean without samples.
    pub(super) const fn new(half_life: Duration) -> Self {
        Self { half_life, weight: 0.0, mean: 0.0, at: None }
    }

    /// Number of samples, as far as they are not forgotten.
    pub(super) fn weight(&self, now: time::Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.weight * 0.5_f64.powf(age / self.half_life.as_secs_f64())
    }

    /// The mean; zero before the first sample.
    pub(super) const fn mean(&self) -> f64 {
        self.mean
    }

    /// Adds `count` samples with a mean of `value`.
    pub(super) fn add(&mut self, value: f64, count: f64, now: time::Instant) {
        self.weight = self.weight(now) + count;
        self.mean += (value - self.mean) * count / self.weight;
        self.at = Some(now);
    }

    /// Takes over the samples of another mean, but not how fast they are forgotten.
    pub(super) const fn replace_samples(&mut self, other: &Self) {
        (self.weight, self.mean, self.at) = (other.weight, other.mean, other.at);
    }
}

/// A difference, reduced by what chance explains of it if it is the mean of `weight` samples with a
/// variance of `variance`; zero if chance may explain all of it.
pub(super) fn significant(difference: f64, variance: f64, weight: f64) -> f64 {
    let (square, chance) = (difference.powi(2), CONFIDENCE.powi(2) * variance / weight);
    let chance = chance + MIN_DIFFERENCE.powi(2);
    // Without samples the chance is infinite or undefined.
    if square > chance { difference * (1.0 - chance / square) } else { 0.0 }
}
