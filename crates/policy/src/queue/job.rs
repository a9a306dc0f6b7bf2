//! A request as seen by the queue.

use azuregap_core::ids;
use tokio::time;

/// A request as seen by the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Id of the request.
    pub id: ids::RequestId,
    /// Class of the request.
    pub class: ids::ClassId,
    /// Tier of the request, used only if the class is not declared at this queue.
    pub tier: ids::Tier,
    /// Team of the request; empty on open routes, whose requests share as one team.
    pub team: ids::TeamId,
    /// Estimated cost in tokens.
    pub cost: u64,
    /// When the response must be complete.
    pub deadline: Option<time::Instant>,
}

impl Job {
    /// A job of tier 0 and cost 1, without a deadline.
    #[must_use]
    pub fn new(
        id: ids::RequestId,
        class: impl Into<ids::ClassId>,
        team: impl Into<ids::TeamId>,
    ) -> Self {
        Self { id, class: class.into(), tier: 0, team: team.into(), cost: 1, deadline: None }
    }

    /// Sets the tier.
    #[must_use]
    pub const fn tier(mut self, tier: ids::Tier) -> Self {
        self.tier = tier;
        self
    }

    /// Sets the estimated cost in tokens.
    #[must_use]
    pub const fn cost(mut self, tokens: u64) -> Self {
        self.cost = tokens;
        self
    }

    /// Sets the deadline.
    #[must_use]
    pub const fn deadline(mut self, at: time::Instant) -> Self {
        self.deadline = Some(at);
        self
    }
}
