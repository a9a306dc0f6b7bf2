//! One version of the configuration.

use std::collections;
use std::rc;

use azuregap_core::ids;

use super::limits;
use super::route;
use super::service;
use crate::decision::priority;

/// A team as the configuration names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: ids::TeamId,
    /// Its tier, which goes before the route's; the highest if the operator names none.
    pub tier: ids::Tier,
}

/// One version of the configuration, with the look-ups made ready.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Its version; versions only grow.
    pub version: ids::Version,
    /// Bounds on what callers may send.
    pub limits: limits::Limits,
    services: collections::HashMap<ids::PoolId, service::Service>,
    hosts: collections::HashMap<String, Vec<rc::Rc<route::Route>>>,
    keys: collections::HashMap<String, rc::Rc<Team>>,
    keyed: bool,
    team_tiers: priority::Tiers,
    route_tiers: collections::HashMap<ids::PoolId, priority::Tiers>,
}

impl Configuration {
    /// An empty configuration of a version.
    #[must_use]
    pub fn new(version: ids::Version) -> Self {
        Self { version, ..Self::default() }
    }

    /// Sets the bounds on what callers may send.
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

    /// Adds a route.
    #[must_use]
    pub fn with_route(mut self, route: route::Route) -> Self {
        if route.public {
            self.team_tiers.add(ids::Tier::default());
        }
        for share in &route.services {
            self.route_tiers.entry(share.service.clone()).or_default().add(route.tier);
        }
        let routes = self.hosts.entry(route.host.to_ascii_lowercase()).or_default();
        routes.push(rc::Rc::new(route));
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        self
    }

    /// Adds a team with its keys; from then on, routes that aren't open need a key.
    #[must_use]
    pub fn with_team(mut self, team: Team, keys: impl IntoIterator<Item = String>) -> Self {
        self.keyed = true;
        self.team_tiers.add(team.tier);
        let team = rc::Rc::new(team);
        self.keys.extend(keys.into_iter().map(|key| (key, team.clone())));
        self
    }

    /// The route with the longest prefix of the path.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<rc::Rc<route::Route>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix)).cloned()
    }

    /// The team that a key belongs to.
    #[must_use]
    pub fn team_for_key(&self, key: &str) -> Option<rc::Rc<Team>> {
        self.keys.get(key).cloned()
    }

    /// Whether requests on a route need a key.
    #[must_use]
    pub const fn requires_key(&self, route: &route::Route) -> bool {
        self.keyed && !route.public
    }

    /// A service by its name.
    #[must_use]
    pub fn find_service(&self, name: &str) -> Option<&service::Service> {
        self.services.get(name)
    }

    /// Ranks of the requests of a team, none if the route is open, on a route to a service.
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

    /// Names of the teams.
    pub fn team_names(&self) -> impl Iterator<Item = &str> {
        self.keys.values().map(|team| team.name.as_str())
    }

    /// Routes in this version.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
