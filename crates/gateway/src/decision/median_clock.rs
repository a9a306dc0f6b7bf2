//! An estimate of the true time of day that one wrong clock can't move.
//!
//! The time of day is kept as an offset to the steady clock. The offset is the median of the own
//! clock's, the last estimate and the estimates of the other gateways.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time;

/// An estimate of the true time.
#[derive(Clone, Copy, Debug)]
pub struct MedianClock {
    origin: time::Instant,
    at_origin: Duration,
}

impl MedianClock {
    /// Starts with the own time of day.
    #[must_use]
    pub const fn new(now: time::Instant, wall: Duration) -> Self {
        Self { origin: now, at_origin: wall }
    }

    /// The estimate, since 1970.
    #[must_use]
    pub fn time_at(&self, now: time::Instant) -> Duration {
        self.at_origin + now.saturating_duration_since(self.origin)
    }

    /// Adjusts the estimate to the median of itself, the own time of day and what other gateways
    /// estimate, all as of now.
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
