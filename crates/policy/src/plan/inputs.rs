//! What a plan is made from.

use std::collections;
use std::time;

use azuregap_core::ids;
use azuregap_core::intent;

use super::Backend;
use super::Demand;

/// What a plan is made from.
#[derive(Clone, Debug)]
pub struct Inputs<'a> {
    /// What operators declared.
    pub intent: &'a intent::Intent,
    /// Backend servers there are or may be.
    pub backends: &'a [Backend],
    /// Estimated demand.
    pub demand: &'a [Demand],
    /// Round trips to zones; a zone that is not named is near.
    pub round_trips: collections::BTreeMap<ids::ZoneId, time::Duration>,
}

impl<'a> Inputs<'a> {
    /// Inputs without backend servers and demand.
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

    /// Sets the round trip to `zone`.
    #[must_use]
    pub fn round_trip(mut self, zone: impl Into<ids::ZoneId>, round_trip: time::Duration) -> Self {
        self.round_trips.insert(zone.into(), round_trip);
        self
    }

    /// Whether the names `leaving` in the intent hold this backend server.
    pub(super) fn leaves(&self, backend: &Backend) -> bool {
        backend.state == super::BackendState::Leaving || self.intent.is_leaving(&backend.name)
    }
}
