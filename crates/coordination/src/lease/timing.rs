//! The spans of time that all processes of one lease must agree on.

use std::time;

/// The spans of time of a lease; every process that competes for the row must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How long a renewal lasts, counted by the holder from before it was sent.
    pub term: time::Duration,
    /// How much earlier the holder stops, and how much longer a candidate waits.
    pub margin: time::Duration,
    /// Longest time between the answer of `may_act` and the arrival of the effect.
    pub send_deadline: time::Duration,
    /// How often the holder renews and a candidate looks.
    pub interval: time::Duration,
}

impl Timing {
    /// Default length of a term.
    pub const TERM: time::Duration = time::Duration::from_secs(3);

    /// Terms of this length: margin a tenth, send deadline a third and interval a quarter of it.
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

    /// Sets the longest time that a send may take.
    #[must_use]
    pub fn send_deadline(mut self, deadline: time::Duration) -> Self {
        self.send_deadline = deadline;
        self
    }

    /// Sets how often the row is renewed or looked at.
    #[must_use]
    pub fn interval(mut self, interval: time::Duration) -> Self {
        self.interval = interval;
        self
    }

    /// Whether a holder has time for two renewals before it must stop, and a margin at all.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        !self.margin.is_zero() && self.interval * 2 < self.validity()
    }

    /// How long after sending a renewal the holder may act on it.
    #[must_use]
    pub fn validity(&self) -> time::Duration {
        self.term.saturating_sub(self.margin)
    }

    /// How long a candidate watches an unchanged row before it takes it.
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
