//! A straight line through samples, which forgets.

use std::time::Duration;

use tokio::time;

/// Time after which a sample counts half: long enough for a line through noisy samples, short enough
/// to follow the load of a service.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Samples from which on there is a prediction.
const MIN_WEIGHT: f64 = 4.0;

/// The prediction is at least this share of the mean.
const MIN_SHARE: f64 = 0.25;

/// Least squares of a time on the work that precedes it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Fit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    pub(super) at: Option<time::Instant>,
}

impl Fit {
    /// Adds a sample.
    pub(super) fn observe(&mut self, x: f64, y: f64, now: time::Instant) {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let add = |sum: &mut f64, value: f64| *sum = *sum * decay + value;
        add(&mut self.weight, 1.0);
        add(&mut self.x, x);
        add(&mut self.y, y);
        add(&mut self.xx, x * x);
        add(&mut self.xy, x * y);
        self.at = Some(now);
    }

    /// The time to expect for `x`; `None` before there are enough samples. More work never takes less
    /// time.
    pub(super) fn predict(&self, x: f64) -> Option<f64> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let (mean_x, mean_y) = (self.x / self.weight, self.y / self.weight);
        let variance = self.xx / self.weight - mean_x * mean_x;
        let covariance = self.xy / self.weight - mean_x * mean_y;
        let is_spread = variance > 1e-6 * (1.0 + mean_x * mean_x);
        let slope = if is_spread { (covariance / variance).max(0.0) } else { 0.0 };
        Some((mean_y + slope * (x - mean_x)).max(mean_y * MIN_SHARE))
    }
}
