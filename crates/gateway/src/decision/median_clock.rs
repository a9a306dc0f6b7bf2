//! An estimate of the time of day that a single wrong clock can't shift.
//!
//! The time of day is stored as an offset to the monotonic clock. The offset is the median of those
//! of the local clock, the last estimate and the estimates of the other gateways.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time;

/// An estimate of the time of day.
#[derive(Clone, Copy, Debug)]
pub struct MedianClock {
    origin: time::Instant,
    time_at_origin: Duration,
}

impl MedianClock {
    /// Creates an estimate from the time of day of the local clock.
    #[must_use]
    pub const fn new(now: time::Instant, wall: Duration) -> Self {
        Self { origin: now, time_at_origin: wall }
    }

    /// The estimated time of day, since 1970.
    #[must_use]
    pub fn time_at(&self, now: time::Instant) -> Duration {
        self.time_at_origin + now.saturating_duration_since(self.origin)
    }

    /// Sets the estimate to the median of itself, the time of day of the local clock and the
    /// estimates of the other gateways, all as of now.
    pub fn adjust(
        &mut self,
        now: time::Instant,
        wall: Duration,
        others: impl IntoIterator<Item = Duration>,
    ) {
        let mut times: SmallVec<[Duration; 8]> = others.into_iter().collect();
        times.push(wall);
        times.push(self.time_at(now));
        times.sort_unstable();
        let middle = times.len() / 2;
        let median = if times.len() % 2 == 1 {
            times[middle]
        } else if times.len() == 2 {
            self.time_at(now)
        } else {
            (times[middle - 1] + times[middle]) / 2
        };
        *self = Self::new(now, median);
    }
}
