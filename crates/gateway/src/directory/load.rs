//! Load at one backend server.

use std::ops;

use crate::decision::priority;

/// Load of the requests of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RankLoad {
    /// Requests that were sent and have not ended.
    pub in_flight: u32,
    /// Prompt tokens of those of them that have not produced their first event.
    pub pending_prefill: u64,
}

/// Load of the requests of one or more gateways at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests with long prompts.
    pub long_prompts: u32,
    /// Load by rank.
    pub ranks: [RankLoad; priority::RANK_COUNT],
}

impl Load {
    /// Load of the requests that are served before or together with those of a rank.
    #[must_use]
    pub fn up_to_rank(&self, rank: priority::Rank) -> RankLoad {
        self.ranks.iter().take(usize::from(rank) + 1).copied().sum()
    }

    /// Load of all requests.
    #[must_use]
    pub fn total(&self) -> RankLoad {
        self.ranks.iter().copied().sum()
    }

    /// Load of the requests of a rank; ranks that don't exist map to the last one.
    pub fn rank_mut(&mut self, rank: priority::Rank) -> &mut RankLoad {
        &mut self.ranks[usize::from(rank).min(priority::RANK_COUNT - 1)]
    }

    /// The load multiplied by a factor.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        let scale = |load: RankLoad| RankLoad {
            in_flight: (f64::from(load.in_flight) * factor).round() as u32,
            pending_prefill: (load.pending_prefill as f64 * factor).round() as u64,
        };
        let long_prompts = (f64::from(self.long_prompts) * factor).round() as u32;
        Self { long_prompts, ranks: self.ranks.map(scale) }
    }
}

impl ops::AddAssign for RankLoad {
    /// Saturates at the largest number.
    fn add_assign(&mut self, other: Self) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.pending_prefill = self.pending_prefill.saturating_add(other.pending_prefill);
    }
}

impl ops::SubAssign for RankLoad {
    /// Saturates at zero.
    fn sub_assign(&mut self, other: Self) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.pending_prefill = self.pending_prefill.saturating_sub(other.pending_prefill);
    }
}

impl std::iter::Sum for RankLoad {
    fn sum<I: Iterator<Item = Self>>(loads: I) -> Self {
        loads.fold(Self::default(), |mut sum, load| {
            sum += load;
            sum
        })
    }
}

impl ops::AddAssign for Load {
    fn add_assign(&mut self, other: Self) {
        self.long_prompts = self.long_prompts.saturating_add(other.long_prompts);
        self.ranks.iter_mut().zip(other.ranks).for_each(|(load, other)| *load += other);
    }
}

impl ops::SubAssign for Load {
    /// Saturates at zero.
    fn sub_assign(&mut self, other: Self) {
        self.long_prompts = self.long_prompts.saturating_sub(other.long_prompts);
        self.ranks.iter_mut().zip(other.ranks).for_each(|(load, other)| *load -= other);
    }
}
