//! Estimates how many similar requests all gateways send before they learn of each other's load.

use std::time::Duration;

use tokio::time;

/// Time constant of the moving average: the interval between the gossip messages of a gateway in a
/// fleet of about thirty.
const TIME_CONSTANT: Duration = Duration::from_millis(700);

/// Rate of a gateway's own requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    /// Requests per second at the time of the last request.
    rate: f64,
    last: Option<time::Instant>,
}

impl ArrivalRate {
    /// Counts a request.
    pub fn observe(&mut self, now: time::Instant) {
        self.rate = self.rate(now) + 1.0 / TIME_CONSTANT.as_secs_f64();
        self.last = Some(now);
    }

    /// Expected number of requests of `gateways` gateways within `period`, if each of them sends at
    /// the rate of this one.
    #[must_use]
    pub fn expected_count(&self, gateways: usize, period: Duration, now: time::Instant) -> f64 {
        self.rate(now) * period.as_secs_f64() * gateways as f64
    }

    fn rate(&self, now: time::Instant) -> f64 {
        let age = self.last.map(|last| now.saturating_duration_since(last)).unwrap_or_default();
        self.rate * (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
