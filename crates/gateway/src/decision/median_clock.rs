//! An estimate of the time of day that a single wrong clock can't shift.
//!
//! The time of day is stored as an offset to the monotonic clock. The offset is the median of those
//! of the local clock, the last estimate and what the other gateways tell.
//!
//! Gateways tell each other their local clocks, not their estimates: what arrives is late by the time
//! on the way, and if estimates were made of estimates, each round would add that once more, so that
//! the whole fleet would fall behind without bound.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time;

/// Largest difference to the estimate at which the local clock is told. It is less than the time for
/// which counts are waited for after the end of a window.
const MAX_TOLD_DIFFERENCE: Duration = Duration::from_secs(1);

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

    /// The time of day to tell the other gateways, given that of the local clock: the local clock,
    /// unless it is wrong.
    #[must_use]
    pub fn tell(&self, now: time::Instant, wall: Duration) -> Duration {
        let estimate = self.time_at(now);
        if wall.abs_diff(estimate) <= MAX_TOLD_DIFFERENCE { wall } else { estimate }
    }

    /// Sets the estimate to the median of itself, the time of day of the local clock and what the
    /// other gateways tell, all as of now.
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
