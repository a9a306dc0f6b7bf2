//! Regions in which a request must stay.
//!
//! ```
//! use azuregap_gateway::decision::homes;
//!
//! let regions = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
//! let homes = homes::Homes { route: regions(&["west", "east"]), team: regions(&["west"]) };
//! assert!(homes.allow(Some("west")));
//! assert!(!homes.allow(Some("east")));
//! assert!(!homes.allow(None));
//! assert!(homes::Homes::default().allow(None));
//! ```

use azuregap_core::ids;
use smallvec::SmallVec;

/// A few regions.
pub type Regions = SmallVec<[ids::RegionId; 2]>;

/// Regions in which a request must stay; without any it may go everywhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    /// Homes of its route.
    pub route: Regions,
    /// Homes of its team, which bind beside those of the route.
    pub team: Regions,
}

impl Homes {
    /// Whether the request may go to a region; `None` is a region that isn't known, which is no home.
    #[must_use]
    pub fn allow(&self, region: Option<&str>) -> bool {
        let is_home = |homes: &Regions| {
            homes.is_empty() || region.is_some_and(|region| homes.iter().any(|home| home == region))
        };
        is_home(&self.route) && is_home(&self.team)
    }
}
