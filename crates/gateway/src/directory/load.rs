//! Work that stands at one backend server.

use std::ops;

use crate::decision::urgency;

/// Work of the requests of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Requests sent and not finished.
    pub running: u32,
    /// Prompt tokens of those that have not produced their first event.
    pub prefill: u64,
}

/// Work of some gateways' requests at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests with long prompts.
    pub long: u32,
    /// Work by rank.
    pub ranks: [Part; urgency::RANKS],
}

impl Load {
    /// Work of the requests that are served before or beside those of a rank.
    #[must_use]
    pub fn until(&self, rank: urgency::Rank) -> Part {
        self.ranks.iter().take(usize::from(rank) + 1).copied().sum()
    }

    /// Work of all requests.
    #[must_use]
    pub fn total(&self) -> Part {
        self.ranks.iter().copied().sum()
    }

    /// The work of the requests of a rank; the last one stands for those that don't exist.
    pub fn rank_mut(&mut self, rank: urgency::Rank) -> &mut Part {
        &mut self.ranks[usize::from(rank).min(urgency::RANKS - 1)]
    }

    /// The same work times a factor.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        let part = |part: Part| Part {
            running: (f64::from(part.running) * factor).round() as u32,
            prefill: (part.prefill as f64 * factor).round() as u64,
        };
        let long = (f64::from(self.long) * factor).round() as u32;
        Self { long, ranks: self.ranks.map(part) }
    }
}

impl ops::AddAssign for Part {
    fn add_assign(&mut self, other: Self) {
        self.running += other.running;
        self.prefill += other.prefill;
    }
}

impl ops::SubAssign for Part {
    /// Never less than nothing.
    fn sub_assign(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.prefill = self.prefill.saturating_sub(other.prefill);
    }
}

impl std::iter::Sum for Part {
    fn sum<I: Iterator<Item = Self>>(parts: I) -> Self {
        parts.fold(Self::default(), |mut sum, part| {
            sum += part;
            sum
        })
    }
}

impl ops::AddAssign for Load {
    fn add_assign(&mut self, other: Self) {
        self.long += other.long;
        self.ranks.iter_mut().zip(other.ranks).for_each(|(part, other)| *part += other);
    }
}

impl ops::SubAssign for Load {
    /// Never less than nothing.
    fn sub_assign(&mut self, other: Self) {
        self.long = self.long.saturating_sub(other.long);
        self.ranks.iter_mut().zip(other.ranks).for_each(|(part, other)| *part -= other);
    }
}
