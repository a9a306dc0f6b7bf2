//! How many requests of its kind are sent while gateways don't hear of each other.

use std::time::Duration;

use tokio::time;

/// Time over which the rate is averaged. Source: the pause between beacons of some thirty gateways.
const AVERAGE: Duration = Duration::from_millis(700);

/// Rate of a gateway's own requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    /// Requests a second, as of the last one.
    rate: f64,
    last: Option<time::Instant>,
}

impl ArrivalRate {
    /// Counts a request.
    pub fn observe(&mut self, now: time::Instant) {
        self.rate = self.rate(now) + 1.0 / AVERAGE.as_secs_f64();
        self.last = Some(now);
    }

    /// Requests that all `gateways` together send within `period`, if the others send as many.
    #[must_use]
    pub fn expected_count(&self, gateways: usize, period: Duration, now: time::Instant) -> f64 {
        self.rate(now) * period.as_secs_f64() * gateways as f64
    }

    fn rate(&self, now: time::Instant) -> f64 {
        let age = self.last.map(|last| now.saturating_duration_since(last)).unwrap_or_default();
        self.rate * (-age.as_secs_f64() / AVERAGE.as_secs_f64()).exp()
    }
}
