//! The order in which requests of different teams and routes are served.
//!
//! The tier of the team comes first; the tier of the route orders requests of teams of the same
//! tier. Within a tier, requests that can no longer be on time come last, so that they don't delay
//! those that can; they never rank behind a lower tier. This handles bursts of long prompts in
//! which every engine has more to read than it can read in time.
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

/// Number of ranks that model engines distinguish, as defined by their request headers.
pub const RANK_COUNT: usize = 10;

/// Priority of a request at a backend server; 0 is served first.
pub type Rank = u8;

/// Ranks of a request, by whether it can still be on time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ranks {
    /// Rank while it can be on time.
    pub on_time: Rank,
    /// Rank once it can't.
    pub late: Rank,
}

/// The distinct tiers in use, sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tiers(SmallVec<[ids::Tier; 8]>);

impl Tiers {
    /// Adds a tier.
    pub fn add(&mut self, tier: ids::Tier) {
        if let Err(at) = self.0.binary_search(&tier) {
            self.0.insert(at, tier);
        }
    }

    /// The tiers; the default one if there are none.
    pub fn iter(&self) -> impl Iterator<Item = ids::Tier> {
        let default = self.0.is_empty().then(ids::Tier::default);
        self.0.iter().copied().chain(default)
    }

    /// Number of tiers that are higher than `tier`, which are the smaller numbers.
    fn count_above(&self, tier: ids::Tier) -> usize {
        self.0.partition_point(|other| *other < tier)
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
    let levels = teams.count() * routes.count();
    let level = teams.count_above(team) * routes.count() + routes.count_above(route);
    let rank = |rank: usize| rank.min(RANK_COUNT - 1) as Rank;
    if levels * 2 > RANK_COUNT {
        return Ranks { on_time: rank(level), late: rank(level) };
    }
    Ranks { on_time: rank(level * 2), late: rank(level * 2 + 1) }
}
