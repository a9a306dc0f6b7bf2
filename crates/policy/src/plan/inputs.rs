//! Inputs of the planner.

use std::collections;
use std::time;

use azuregap_core::ids;
use azuregap_core::intent;

use super::Backend;
use super::Demand;

/// Inputs of the planner.
#[derive(Clone, Debug)]
pub struct Inputs<'a> {
    /// The intent declared by operators.
    pub intent: &'a intent::Intent,
    /// Backend servers that exist or may exist.
    pub backends: &'a [Backend],
    /// Estimated demand.
    pub demand: &'a [Demand],
    /// Round-trip time to each zone; a zone without one counts as near.
    pub round_trips: collections::BTreeMap<ids::ZoneId, time::Duration>,
}

impl<'a> Inputs<'a> {
    /// Inputs without backend servers or demand.
    #[must_use]
    pub fn new(intent: &'a intent::Intent) -> Self {
        Self { intent, backends: &[], demand: &[], round_trips: collections::BTreeMap::new() }
    }

    /// Sets the backend servers.
    #[must_use]
    pub const fn backends(mut self, backends: &'a [Backend]) -> Self {
        self.backends = backends;
        self
    }

    /// Sets the demand.
    #[must_use]
    pub const fn demand(mut self, demand: &'a [Demand]) -> Self {
        self.demand = demand;
        self
    }

    /// Sets the round-trip time to `zone`.
    #[must_use]
    pub fn round_trip(mut self, zone: impl Into<ids::ZoneId>, round_trip: time::Duration) -> Self {
        self.round_trips.insert(zone.into(), round_trip);
        self
    }

    /// Whether the backend server is leaving, by its own state or by the intent.
    pub(super) fn is_leaving(&self, backend: &Backend) -> bool {
        backend.state == super::BackendState::Leaving || self.intent.is_leaving(&backend.name)
    }
}
