//! Start-time fair queueing state of one tier and of the teams in it.

use std::collections;

use azuregap_core::ids;

/// Virtual time per token at weight 1.
const TOKEN_TIME: u64 = 1024;

/// Longest lag in virtual time that a team may catch up.
const MAX_CREDIT: u64 = 32_768 * TOKEN_TIME;

/// Lag in virtual time from which a team is far below its share.
const FAR_BEHIND: u64 = MAX_CREDIT / 2;

/// Idle teams are pruned when the table has doubled since the last time, but not below this size.
const MIN_PRUNE_SIZE: usize = 64;

/// Fair queueing state of one tier.
#[derive(Debug)]
pub(super) struct FairQueue {
    pub(super) tier: ids::Tier,
    /// Start tag of the job dispatched last.
    virtual_time: u64,
    teams: collections::HashMap<ids::TeamId, TeamState>,
    /// Size of the table at which idle teams are pruned next.
    prune_size: usize,
}

/// Fair queueing state of one team.
#[derive(Clone, Copy, Debug)]
struct TeamState {
    /// Virtual time at which the team may start its next job.
    next_start: u64,
    /// Whether a job of the team was refused or shed and the team has kept offering jobs since.
    rejected: bool,
    /// Virtual time at which the team last offered a job.
    last_offer: u64,
}

impl TeamState {
    const fn has_credit(&self, virtual_time: u64) -> bool {
        self.rejected && self.last_offer.saturating_add(MAX_CREDIT) >= virtual_time
    }
}

impl FairQueue {
    pub(super) fn new(tier: ids::Tier) -> Self {
        Self {
            tier,
            virtual_time: 0,
            teams: collections::HashMap::new(),
            prune_size: MIN_PRUNE_SIZE,
        }
    }

    /// Start tag of the team's next job.
    ///
    /// A team that keeps offering jobs after one was refused or shed may catch up on its lag, up
    /// to [`MAX_CREDIT`].
    pub(super) fn start_tag(&self, team: &str) -> u64 {
        let Some(team) = self.teams.get(team) else { return self.virtual_time };
        let credit = if team.has_credit(self.virtual_time) { MAX_CREDIT } else { 0 };
        team.next_start.max(self.virtual_time.saturating_sub(credit))
    }

    /// Whether a job with this start tag belongs to a team far below its share.
    pub(super) const fn is_behind(&self, start_tag: u64) -> bool {
        start_tag.saturating_add(FAR_BEHIND) <= self.virtual_time
    }

    /// Charges the team for a job with this start tag.
    pub(super) fn charge(&mut self, name: &str, start_tag: u64, cost: u64, weight: u32) {
        let virtual_time = self.virtual_time;
        let team = self.team(name);
        team.rejected = team.has_credit(virtual_time);
        team.last_offer = virtual_time;
        team.next_start = start_tag.saturating_add(virtual_cost(cost, weight));
    }

    /// Records that a job of the team was refused or shed.
    pub(super) fn record_rejection(&mut self, name: &str) {
        let (virtual_time, start_tag) = (self.virtual_time, self.start_tag(name));
        let team = self.team(name);
        team.next_start = start_tag;
        team.rejected = true;
        team.last_offer = virtual_time;
    }

    /// Replaces the estimated cost of a job with the actual one.
    pub(super) fn correct_cost(&mut self, name: &str, estimate: u64, actual: u64, weight: u32) {
        let (more, less) = (virtual_cost(actual, weight), virtual_cost(estimate, weight));
        let team = self.team(name);
        team.next_start = team.next_start.saturating_add(more).saturating_sub(less);
    }

    /// Advances the virtual time to the start tag of a dispatched job.
    pub(super) fn advance(&mut self, start_tag: u64) {
        self.virtual_time = self.virtual_time.max(start_tag);
    }

    fn team(&mut self, name: &str) -> &mut TeamState {
        if !self.teams.contains_key(name) {
            self.prune_idle();
            let team = TeamState {
                next_start: self.virtual_time,
                rejected: false,
                last_offer: self.virtual_time,
            };
            self.teams.insert(name.to_owned(), team);
        }
        self.teams.get_mut(name).expect("the team was added above")
    }

    fn prune_idle(&mut self) {
        if self.teams.len() < self.prune_size {
            return;
        }
        let virtual_time = self.virtual_time;
        self.teams
            .retain(|_, team| team.next_start > virtual_time || team.has_credit(virtual_time));
        self.prune_size = MIN_PRUNE_SIZE.max(self.teams.len() * 2);
    }
}

/// Cost in virtual time.
fn virtual_cost(cost: u64, weight: u32) -> u64 {
    cost.saturating_mul(TOKEN_TIME) / u64::from(weight.max(1))
}
