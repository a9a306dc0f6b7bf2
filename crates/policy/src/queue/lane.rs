//! Virtual time of one tier and of the teams in it.

use std::collections;

use azuregap_core::ids;

/// Virtual time of one token at weight 1.
const TOKEN: u64 = 1024;

/// Idle teams are forgotten when the table has grown to twice what was kept, but not below this.
const LEAST_KEPT: usize = 64;

/// Fair sharing state of one tier.
#[derive(Debug)]
pub(super) struct Lane {
    pub(super) tier: ids::Tier,
    /// Virtual start of the job dispatched last.
    clock: u64,
    /// Virtual time at which each team may start its next job, while that is in the future.
    teams: collections::HashMap<ids::TeamId, u64>,
    limit: usize,
}

impl Lane {
    pub(super) fn new(tier: ids::Tier) -> Self {
        Self { tier, clock: 0, teams: collections::HashMap::new(), limit: LEAST_KEPT }
    }

    /// Virtual start that the team's next job would get.
    pub(super) fn start(&self, team: &str) -> u64 {
        self.teams.get(team).map_or(self.clock, |next| self.clock.max(*next))
    }

    /// Charges the team for a job with this virtual start.
    pub(super) fn charge(&mut self, team: &str, start: u64, cost: u64, weight: u32) {
        let next = start.saturating_add(share(cost, weight));
        match self.teams.get_mut(team) {
            Some(known) => *known = next,
            None => {
                self.forget_idle();
                self.teams.insert(team.to_owned(), next);
            }
        }
    }

    /// Replaces an estimated cost by the actual one.
    pub(super) fn correct(&mut self, team: &str, estimate: u64, actual: u64, weight: u32) {
        let (clock, more, less) = (self.clock, share(actual, weight), share(estimate, weight));
        if let Some(next) = self.teams.get_mut(team) {
            *next = next.saturating_add(more).saturating_sub(less);
        } else if more > less {
            self.teams.insert(team.to_owned(), clock.saturating_add(more - less));
        }
    }

    /// Moves the clock to the start of a dispatched job.
    pub(super) fn advance(&mut self, start: u64) {
        self.clock = self.clock.max(start);
    }

    fn forget_idle(&mut self) {
        if self.teams.len() < self.limit {
            return;
        }
        let clock = self.clock;
        self.teams.retain(|_, next| *next > clock);
        self.limit = LEAST_KEPT.max(self.teams.len() * 2);
    }
}

fn share(cost: u64, weight: u32) -> u64 {
    cost.saturating_mul(TOKEN) / u64::from(weight.max(1))
}
