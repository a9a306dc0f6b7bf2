//! One version of the configuration.

use std::collections;
use std::sync;
use std::time::Duration;

use azuregap_core::ids;

use super::declared_team;
use super::limits;
use super::route;
use super::service;
use crate::decision::engine_room;
use crate::decision::homes;
use crate::decision::priority;

/// A team in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: ids::TeamId,
    /// Its tier, which takes precedence over that of the route; the highest by default.
    pub tier: ids::Tier,
    /// Regions in which its requests must stay; without any they may go everywhere.
    pub homes: homes::Regions,
}

type RoutesByPrefix = collections::HashMap<String, sync::Arc<route::Route>>;

/// One version of the configuration, indexed for lookups.
///
/// Adding a route and finding one take the same time however many there are.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Its version; versions only increase.
    pub version: ids::Version,
    /// Limits for requests.
    pub limits: limits::Limits,
    services: collections::HashMap<ids::PoolId, service::Service>,
    routes_by_host: collections::HashMap<String, RoutesByPrefix>,
    teams_by_key: collections::HashMap<String, sync::Arc<Team>>,
    team_names: collections::HashSet<ids::TeamId>,
    requires_keys: bool,
    team_tiers: priority::Tiers,
    route_tiers: collections::HashMap<ids::PoolId, priority::Tiers>,
    /// Shortest pause that the streams of each tier tolerate, by service.
    gaps: collections::HashMap<ids::PoolId, collections::BTreeMap<ids::Tier, Duration>>,
}

impl Configuration {
    /// Creates an empty configuration with a version.
    #[must_use]
    pub fn new(version: ids::Version) -> Self {
        Self { version, ..Self::default() }
    }

    /// Sets the limits for requests.
    #[must_use]
    pub const fn with_limits(mut self, limits: limits::Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn with_service(mut self, service: service::Service) -> Self {
        self.services.insert(service.name.clone(), service);
        self
    }

    /// Adds a route; of several with the same host and prefix, the first one counts, and it is public
    /// only if all of them are.
    #[must_use]
    pub fn with_route(mut self, route: route::Route) -> Self {
        if route.public {
            self.team_tiers.add(ids::Tier::default());
        }
        for weighted in &route.services {
            self.route_tiers.entry(weighted.service.clone()).or_default().add(route.tier);
            if let Some(gap) = route.kind.max_gap() {
                let gaps = self.gaps.entry(weighted.service.clone()).or_default();
                let shortest = gaps.entry(route.tier).or_insert(gap);
                *shortest = gap.min(*shortest);
            }
        }
        let routes = self.routes_by_host.entry(route.host.to_ascii_lowercase()).or_default();
        let is_public = route.public;
        let first = routes.entry(route.prefix.clone()).or_insert_with(|| sync::Arc::new(route));
        if first.public && !is_public {
            sync::Arc::make_mut(first).public = false;
        }
        self
    }

    /// Makes all routes that aren't public require a key, also if no team has one.
    #[must_use]
    pub const fn with_required_keys(mut self) -> Self {
        self.requires_keys = true;
        self
    }

    /// Adds a team with its keys; from then on, routes that aren't public require a key. A key that
    /// nobody can send, such as an empty one, is left out.
    #[must_use]
    pub fn with_team(mut self, team: Team, keys: impl IntoIterator<Item = String>) -> Self {
        self.requires_keys = true;
        self.team_tiers.add(team.tier);
        self.team_names.insert(team.name.clone());
        let team = sync::Arc::new(team);
        let keys = keys.into_iter().filter(|key| declared_team::is_sendable(key));
        self.teams_by_key.extend(keys.map(|key| (key, team.clone())));
        self
    }

    /// Finds the route of a host with the longest matching path prefix.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<sync::Arc<route::Route>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.routes_by_host.get(&host)?;
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.find_map(|end| routes.get(&path[..end])).cloned()
    }

    /// Returns the team that a key belongs to.
    #[must_use]
    pub fn team_for_key(&self, key: &str) -> Option<sync::Arc<Team>> {
        self.teams_by_key.get(key).cloned()
    }

    /// Whether requests on a route require a key.
    #[must_use]
    pub const fn requires_key(&self, route: &route::Route) -> bool {
        self.requires_keys && !route.public
    }

    /// Whether routes that aren't public require a key.
    #[must_use]
    pub const fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Finds a service by name.
    #[must_use]
    pub fn find_service(&self, name: &str) -> Option<&service::Service> {
        self.services.get(name)
    }

    /// Ranks of the requests of a team on a route to a service; `team` is `None` for requests
    /// without a key.
    #[must_use]
    pub fn ranks(
        &self,
        team: Option<&Team>,
        route: &route::Route,
        service: &str,
    ) -> priority::Ranks {
        let team = team.map_or_else(ids::Tier::default, |team| team.tier);
        let Some(routes) = self.route_tiers.get(service) else { return priority::Ranks::default() };
        priority::ranks(&self.team_tiers, team, routes, route.tier)
    }

    /// Shortest pause that the streams of each rank at a service tolerate.
    #[must_use]
    pub fn rank_gaps(&self, service: &str) -> engine_room::RankGaps {
        let mut result = engine_room::RankGaps::default();
        let Some((routes, gaps)) = self.route_tiers.get(service).zip(self.gaps.get(service)) else {
            return result;
        };
        for (team, (tier, gap)) in
            self.team_tiers.iter().flat_map(|team| gaps.iter().map(move |gap| (team, gap)))
        {
            let ranks = priority::ranks(&self.team_tiers, team, routes, *tier);
            for rank in [ranks.on_time, ranks.late] {
                let shortest = &mut result[usize::from(rank)];
                *shortest = Some(shortest.map_or(*gap, |shortest| shortest.min(*gap)));
            }
        }
        result
    }

    /// Names of the teams, also of those without a key.
    #[must_use]
    pub const fn team_names(&self) -> &collections::HashSet<ids::TeamId> {
        &self.team_names
    }

    /// Number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes_by_host.values().map(RoutesByPrefix::len).sum()
    }
}
