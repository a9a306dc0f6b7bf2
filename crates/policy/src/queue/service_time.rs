//! Moving average of the time that a request holds a slot.

use std::time::Duration;

/// Window of the moving average: the newest sample has a weight of one in this many.
const SMOOTHING: u32 = 16;

/// Moving average of the time that a request holds a slot.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTime {
    average: Option<Duration>,
}

impl ServiceTime {
    pub(super) fn observe(&mut self, held: Duration) {
        self.average = Some(match self.average {
            Some(average) => (average * (SMOOTHING - 1) + held) / SMOOTHING,
            None => held,
        });
    }

    /// Expected time until `requests` have left a queue with this many slots; none without samples.
    pub(super) fn expected_wait(&self, requests: usize, slots: u32) -> Option<Duration> {
        let requests = u32::try_from(requests).unwrap_or(u32::MAX);
        self.average.map(|average| average.saturating_mul(requests) / slots.max(1))
    }
}
