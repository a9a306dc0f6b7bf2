//! In which order requests of different teams and routes are served.
//!
//! The tier of the team decides, the tier of the route tells requests of one team tier apart. Among
//! requests of one tier, those that can't be on time any more come last, so that they delay none
//! that can; they never fall behind a lower tier. This answers a burst of long prompts in which
//! each engine has more to read than it can read in time.
//!
//! ```
//! use azuregap_gateway::decision::priority;
//!
//! let (teams, routes) = (priority::Tiers::from_iter([0]), priority::Tiers::from_iter([0, 1]));
//! let ranks = priority::ranks(&teams, 0, &routes, 1);
//! assert_eq!(ranks, priority::Ranks { on_time: 2, late: 3 });
//! ```

use azuregap_core::ids;
use smallvec::SmallVec;

/// Ranks that model engines tell apart. Source: the headers that engines understand.
pub const RANK_COUNT: usize = 10;

/// Place of a request in the order of a backend server's work; 0 is served first.
pub type Rank = u8;

/// Ranks of a request, by whether it can still be on time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ranks {
    /// Rank while it can be on time.
    pub on_time: Rank,
    /// Rank once it can't.
    pub late: Rank,
}

/// Different tiers in use, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tiers(SmallVec<[ids::Tier; 8]>);

impl Tiers {
    /// Adds a tier.
    pub fn add(&mut self, tier: ids::Tier) {
        if let Err(at) = self.0.binary_search(&tier) {
            self.0.insert(at, tier);
        }
    }

    /// How many of them are higher than a tier.
    fn above(&self, tier: ids::Tier) -> usize {
        self.0.partition_point(|known| *known < tier)
    }

    fn count(&self) -> usize {
        self.0.len().max(1)
    }
}

impl FromIterator<ids::Tier> for Tiers {
    fn from_iter<I: IntoIterator<Item = ids::Tier>>(tiers: I) -> Self {
        let mut result = Self::default();
        tiers.into_iter().for_each(|tier| result.add(tier));
        result
    }
}

/// Ranks of the requests of a team on a route, among those of all `teams` and `routes` of a
/// service.
///
/// If there are more tiers than ranks, the lowest tiers share the last rank.
#[must_use]
pub fn ranks(teams: &Tiers, team: ids::Tier, routes: &Tiers, route: ids::Tier) -> Ranks {
    let steps = teams.count() * routes.count();
    let step = teams.above(team) * routes.count() + routes.above(route);
    let rank = |rank: usize| rank.min(RANK_COUNT - 1) as Rank;
    if steps * 2 > RANK_COUNT {
        return Ranks { on_time: rank(step), late: rank(step) };
    }
    Ranks { on_time: rank(step * 2), late: rank(step * 2 + 1) }
}
