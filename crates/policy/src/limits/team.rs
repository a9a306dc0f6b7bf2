//! The limits of one team and the share of them that one entry enforces.

use azuregap_core::intent;

/// Divisor of the part of its limit that a team may use at one entry beyond the even share.
const EXTRA_DIVISOR: u32 = 10;

/// The limits of a team across all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamLimit {
    /// Requests per second.
    pub rate: Option<u32>,
    /// Concurrent requests.
    pub concurrency: Option<u32>,
}

impl TeamLimit {
    /// The limits that the intent declares for the team.
    #[must_use]
    pub const fn of(team: &intent::Team) -> Self {
        Self { rate: team.rate, concurrency: team.concurrency }
    }

    /// Requests per second that one of `entries` admits.
    #[must_use]
    pub fn rate_share(&self, entries: u32) -> Option<f64> {
        let rate = f64::from(self.rate?);
        let share = rate / f64::from(entries.max(1)) + rate / f64::from(EXTRA_DIVISOR);
        Some(share.min(rate))
    }

    /// Concurrent requests that one of `entries` admits.
    #[must_use]
    pub fn concurrency_share(&self, entries: u32) -> Option<u32> {
        let limit = self.concurrency?;
        let share = limit.div_ceil(entries.max(1)) + limit.div_ceil(EXTRA_DIVISOR);
        Some(share.min(limit))
    }
}
