//! Work that stands at one backend server.

use std::ops;

use crate::decision::priority;

/// Work of the requests of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RankLoad {
    /// Requests sent and not finished.
    pub in_flight: u32,
    /// Prompt tokens of those that have not produced their first event.
    pub pending_prefill: u64,
}

/// Work of some gateways' requests at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests with long prompts.
    pub long_prompts: u32,
    /// Work by rank.
    pub ranks: [RankLoad; priority::RANK_COUNT],
}

impl Load {
    /// Work of the requests that are served before or beside those of a rank.
    #[must_use]
    pub fn up_to_rank(&self, rank: priority::Rank) -> RankLoad {
        self.ranks.iter().take(usize::from(rank) + 1).copied().sum()
    }

    /// Work of all requests.
    #[must_use]
    pub fn total(&self) -> RankLoad {
        self.ranks.iter().copied().sum()
    }

    /// The work of the requests of a rank; the last one stands for those that don't exist.
    pub fn rank_mut(&mut self, rank: priority::Rank) -> &mut RankLoad {
        &mut self.ranks[usize::from(rank).min(priority::RANK_COUNT - 1)]
    }

    /// The same work times a factor.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        let part = |part: RankLoad| RankLoad {
            in_flight: (f64::from(part.in_flight) * factor).round() as u32,
            pending_prefill: (part.pending_prefill as f64 * factor).round() as u64,
        };
        let long_prompts = (f64::from(self.long_prompts) * factor).round() as u32;
        Self { long_prompts, ranks: self.ranks.map(part) }
    }
}

impl ops::AddAssign for RankLoad {
    fn add_assign(&mut self, other: Self) {
        self.in_flight += other.in_flight;
        self.pending_prefill += other.pending_prefill;
    }
}

impl ops::SubAssign for RankLoad {
    /// Never less than nothing.
    fn sub_assign(&mut self, other: Self) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.pending_prefill = self.pending_prefill.saturating_sub(other.pending_prefill);
    }
}

impl std::iter::Sum for RankLoad {
    fn sum<I: Iterator<Item = Self>>(parts: I) -> Self {
        parts.fold(Self::default(), |mut sum, part| {
            sum += part;
            sum
        })
    }
}

impl ops::AddAssign for Load {
    fn add_assign(&mut self, other: Self) {
        self.long_prompts += other.long_prompts;
        self.ranks.iter_mut().zip(other.ranks).for_each(|(part, other)| *part += other);
    }
}

impl ops::SubAssign for Load {
    /// Never less than nothing.
    fn sub_assign(&mut self, other: Self) {
        self.long_prompts = self.long_prompts.saturating_sub(other.long_prompts);
        self.ranks.iter_mut().zip(other.ranks).for_each(|(part, other)| *part -= other);
    }
}
