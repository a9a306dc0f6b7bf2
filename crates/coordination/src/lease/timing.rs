//! Timing parameters of a lease.

use std::time;

/// Timing parameters of a lease; must be the same in all processes that compete for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Validity of a renewal, measured by the holder from before the write was sent.
    pub term: time::Duration,
    /// Clock drift allowance: the holder stops this much earlier and candidates wait this much
    /// longer.
    pub margin: time::Duration,
    /// Maximum time between [`crate::lease::Lease::fencing_token`] and the arrival of the message.
    pub send_deadline: time::Duration,
    /// Interval at which the holder renews the lease and candidates read the row.
    pub interval: time::Duration,
}

impl Timing {
    /// Default term.
    pub const TERM: time::Duration = time::Duration::from_secs(3);

    /// Creates the timing for `term`, with a margin of a tenth, a send deadline of a third and an
    /// interval of a quarter of it.
    #[must_use]
    pub fn new(term: time::Duration) -> Self {
        Self { term, margin: term / 10, send_deadline: term / 3, interval: term / 4 }
    }

    /// Sets the margin.
    #[must_use]
    pub fn margin(mut self, margin: time::Duration) -> Self {
        self.margin = margin;
        self
    }

    /// Sets the send deadline.
    #[must_use]
    pub fn send_deadline(mut self, deadline: time::Duration) -> Self {
        self.send_deadline = deadline;
        self
    }

    /// Sets the interval of renewals and reads.
    #[must_use]
    pub fn interval(mut self, interval: time::Duration) -> Self {
        self.interval = interval;
        self
    }

    /// Whether the margin is positive and two renewals fit into the validity of the lease.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        !self.margin.is_zero() && self.interval * 2 < self.validity()
    }

    /// Time for which the holder may act after sending a renewal.
    #[must_use]
    pub fn validity(&self) -> time::Duration {
        self.term.saturating_sub(self.margin)
    }

    /// Time for which the row must be unchanged before a candidate may take the lease over.
    #[must_use]
    pub fn takeover_delay(&self) -> time::Duration {
        self.term + self.margin
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self::new(Self::TERM)
    }
}
