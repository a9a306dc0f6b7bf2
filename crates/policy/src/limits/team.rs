//! What one entry enforces for one team.

use azuregap_core::intent;

/// A team may use this part of its limit at an entry beyond the entry's even share.
const BORROWED_SHARE: u32 = 10;

/// The limits of a team over all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamLimit {
    /// Requests a second.
    pub rate: Option<u32>,
    /// Requests at once.
    pub concurrency: Option<u32>,
}

impl TeamLimit {
    /// The limits that the intent declares for the team.
    #[must_use]
    pub const fn of(team: &intent::Team) -> Self {
        Self { rate: team.rate, concurrency: team.concurrency }
    }

    /// Requests a second that one of `entries` lets through.
    #[must_use]
    pub fn rate_share(&self, entries: u32) -> Option<f64> {
        let rate = f64::from(self.rate?);
        let share = rate / f64::from(entries.max(1)) + rate / f64::from(BORROWED_SHARE);
        Some(share.min(rate))
    }

    /// Requests at once that one of `entries` lets through.
    #[must_use]
    pub fn concurrency_share(&self, entries: u32) -> Option<u32> {
        let limit = self.concurrency?;
        let share = limit.div_ceil(entries.max(1)) + limit.div_ceil(BORROWED_SHARE);
        Some(share.min(limit))
    }
}
