//! How long a request holds a slot, learnt from those that finished.

use std::time::Duration;

/// Weight of the newest observation is one in this many.
const SMOOTHING: u32 = 16;

/// Smoothed time that a request holds a slot.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Service {
    mean: Option<Duration>,
}

impl Service {
    pub(super) fn observe(&mut self, held: Duration) {
        self.mean = Some(match self.mean {
            Some(mean) => (mean * (SMOOTHING - 1) + held) / SMOOTHING,
            None => held,
        });
    }

    /// Expected time until `places` requests have left the queue.
    pub(super) fn wait(&self, places: usize, slots: u32) -> Option<Duration> {
        let places = u32::try_from(places).unwrap_or(u32::MAX);
        self.mean.map(|mean| mean.saturating_mul(places) / slots.max(1))
    }
}
