//! One version of the configuration as the operator wrote it.

use azuregap_core::ids;

use super::declared_team;
use super::limits;
use super::route;
use super::service;
use super::snapshot;

/// One version of the configuration, with its entries in the order in which they were written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// Its version.
    pub version: ids::Version,
    /// Limits for requests.
    pub limits: limits::Limits,
    /// Services.
    pub services: Vec<service::Service>,
    /// Routes.
    pub routes: Vec<route::Route>,
    /// Teams; `None` if the document has no list of them, which asks for no keys. An empty list asks
    /// for keys and gives none.
    pub teams: Option<Vec<declared_team::DeclaredTeam>>,
}

impl Draft {
    /// Teams that are listed.
    #[must_use]
    pub fn listed_teams(&self) -> &[declared_team::DeclaredTeam] {
        self.teams.as_deref().unwrap_or_default()
    }
}

impl From<Draft> for snapshot::Configuration {
    fn from(draft: Draft) -> Self {
        let mut configuration = Self::new(draft.version).with_limits(draft.limits);
        for service in draft.services {
            configuration = configuration.with_service(service);
        }
        for route in draft.routes {
            configuration = configuration.with_route(route);
        }
        let Some(teams) = draft.teams else { return configuration };
        configuration = configuration.with_required_keys();
        for declared in teams {
            configuration = configuration.with_team(declared.team, declared.keys);
        }
        configuration
    }
}
