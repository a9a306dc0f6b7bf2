//! The retry budgets of all teams at an entry.

use std::collections;

use azuregap_core::ids;

use super::budget;

/// The retry budgets of all teams at an entry. A budget is removed when a success fills it; a
/// team without one has a full budget.
#[derive(Clone, Debug, Default)]
pub struct TeamBudgets {
    teams: collections::HashMap<ids::TeamId, budget::Budget>,
}

impl TeamBudgets {
    /// Full budgets for all teams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a successful request of the team.
    pub fn record_success(&mut self, team: &str) {
        let Some(budget) = self.teams.get_mut(team) else { return };
        budget.record_success();
        if *budget == budget::Budget::new() {
            self.teams.remove(team);
        }
    }

    /// The budget of the team, for [`super::decide`].
    pub fn team(&mut self, team: &str) -> &mut budget::Budget {
        if !self.teams.contains_key(team) {
            self.teams.insert(team.to_owned(), budget::Budget::new());
        }
        self.teams.get_mut(team).expect("the team was added above")
    }
}
