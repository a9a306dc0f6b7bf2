//! In which order requests of different teams and routes are served.

use azuregap_core::ids;

/// Tiers of routes that are told apart within one tier of teams.
const ROUTE_TIERS: ids::Tier = 4;

/// The tier of a request: the team's tier decides, the route's tells requests of one team tier
/// apart. Without a team tier the route's decides alone.
#[must_use]
pub fn tier(team: Option<ids::Tier>, route: ids::Tier) -> ids::Tier {
    match team {
        Some(team) => team.saturating_mul(ROUTE_TIERS).saturating_add(route.min(ROUTE_TIERS - 1)),
        None => route,
    }
}
