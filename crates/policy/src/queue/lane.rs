//! Virtual time of one tier and of the teams in it.

use std::collections;

use azuregap_core::ids;

/// Virtual time of one token at weight 1.
const TOKEN: u64 = 1024;

/// Most virtual time that a team may lag behind the clock and still catch up.
const CREDIT: u64 = 32_768 * TOKEN;

/// Lag in virtual time from which a team is far under its share.
const BEHIND: u64 = CREDIT / 2;

/// Idle teams are forgotten when the table has grown to twice what was kept, but not below this.
const LEAST_KEPT: usize = 64;

/// Fair sharing state of one tier.
#[derive(Debug)]
pub(super) struct Lane {
    pub(super) tier: ids::Tier,
    /// Virtual start of the job dispatched last.
    clock: u64,
    teams: collections::HashMap<ids::TeamId, Team>,
    limit: usize,
}

/// Fair sharing state of one team.
#[derive(Clone, Copy, Debug)]
struct Team {
    /// Virtual time at which the team may start its next job.
    next: u64,
    /// Whether a job of the team found no place, and it asked again and again since then.
    unmet: bool,
    /// Virtual time at which the team last asked.
    asked: u64,
}

impl Team {
    const fn is_unmet(&self, clock: u64) -> bool {
        self.unmet && self.asked.saturating_add(CREDIT) >= clock
    }
}

impl Lane {
    pub(super) fn new(tier: ids::Tier) -> Self {
        Self { tier, clock: 0, teams: collections::HashMap::new(), limit: LEAST_KEPT }
    }

    /// Virtual start that the team's next job would get.
    ///
    /// A team that asks again and again, and found no place, keeps what it fell behind as credit
    /// up to [`CREDIT`].
    pub(super) fn start(&self, team: &str) -> u64 {
        let Some(team) = self.teams.get(team) else { return self.clock };
        let credit = if team.is_unmet(self.clock) { CREDIT } else { 0 };
        team.next.max(self.clock.saturating_sub(credit))
    }

    /// Whether a job with this virtual start belongs to a team far under its share.
    pub(super) const fn is_behind(&self, start: u64) -> bool {
        start.saturating_add(BEHIND) <= self.clock
    }

    /// Charges the team for a job with this virtual start.
    pub(super) fn charge(&mut self, name: &str, start: u64, cost: u64, weight: u32) {
        let clock = self.clock;
        let team = self.team(name);
        team.unmet = team.is_unmet(clock);
        team.asked = clock;
        team.next = start.saturating_add(share(cost, weight));
    }

    /// Notes that a job of the team found no place.
    pub(super) fn miss(&mut self, name: &str) {
        let (clock, start) = (self.clock, self.start(name));
        let team = self.team(name);
        team.next = start;
        team.unmet = true;
        team.asked = clock;
    }

    /// Replaces an estimated cost by the actual one.
    pub(super) fn correct(&mut self, name: &str, estimate: u64, actual: u64, weight: u32) {
        let (more, less) = (share(actual, weight), share(estimate, weight));
        let team = self.team(name);
        team.next = team.next.saturating_add(more).saturating_sub(less);
    }

    /// Moves the clock to the start of a dispatched job.
    pub(super) fn advance(&mut self, start: u64) {
        self.clock = self.clock.max(start);
    }

    fn team(&mut self, name: &str) -> &mut Team {
        if !self.teams.contains_key(name) {
            self.forget_idle();
            let team = Team { next: self.clock, unmet: false, asked: self.clock };
            self.teams.insert(name.to_owned(), team);
        }
        self.teams.get_mut(name).expect("the team was added above")
    }

    fn forget_idle(&mut self) {
        if self.teams.len() < self.limit {
            return;
        }
        let clock = self.clock;
        self.teams.retain(|_, team| team.next > clock || team.is_unmet(clock));
        self.limit = LEAST_KEPT.max(self.teams.len() * 2);
    }
}

fn share(cost: u64, weight: u32) -> u64 {
    cost.saturating_mul(TOKEN) / u64::from(weight.max(1))
}
