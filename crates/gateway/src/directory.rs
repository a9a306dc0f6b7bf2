//! Backend servers that are registered in the store, and what this gateway knows about them.

mod backend;
mod backend_state;
mod load;

use std::collections;
use std::time::Duration;

use azuregap_core::ids;
use tokio::time;

pub use backend::Backend;
pub use backend_state::BackendState;
pub use backend_state::id_hash;
pub use load::Load;
pub use load::RankLoad;

/// Entries that expire while the store is unavailable are written again within this time after it
/// returns, as its documentation states; an entry that is still missing then is gone.
pub const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// How an update changed the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters for placement.
    None,
    /// A backend server was added or restarted.
    Added,
    /// A backend server no longer accepts new requests.
    Removed,
}

/// All backend servers that accept new requests, by service.
#[derive(Debug, Default)]
pub struct Directory {
    services:
        collections::HashMap<ids::PoolId, collections::BTreeMap<ids::BackendId, BackendState>>,
    service_of: collections::HashMap<ids::BackendId, ids::PoolId>,
    /// Backend servers whose entries went missing within the grace period.
    missing: Vec<ids::BackendId>,
    grace_until: Option<time::Instant>,
}

impl Directory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the current entry of a backend server.
    pub fn update(&mut self, backend: Backend) -> Change {
        self.missing.retain(|id| *id != backend.id);
        if backend.draining {
            return self.remove(&backend.id);
        }
        if let Some(state) = self.get_mut(&backend.id) {
            let is_same_run = state.backend.started_ms == backend.started_ms
                && state.backend.address == backend.address
                && state.backend.service == backend.service;
            if is_same_run {
                state.backend = backend;
                return Change::None;
            }
        }
        self.remove(&backend.id);
        self.service_of.insert(backend.id.clone(), backend.service.clone());
        let backends = self.services.entry(backend.service.clone()).or_default();
        backends.insert(backend.id.clone(), BackendState::new(backend));
        Change::Added
    }

    /// Handles a backend server whose entry is missing in the store.
    ///
    /// Right after an outage of the store the entry may have expired; the backend server is then
    /// kept until [`Directory::remove_expired`] finds its entry still missing.
    pub fn mark_missing(&mut self, id: &str, now: time::Instant) -> Change {
        if self.grace_until.is_some_and(|until| now < until) && self.service_of.contains_key(id) {
            self.missing.push(id.to_owned());
            return Change::None;
        }
        self.remove(id)
    }

    /// Starts the grace period after an outage of the store that was long enough for entries to
    /// expire.
    pub fn start_grace_period(&mut self, now: time::Instant) {
        self.grace_until = Some(now + REREGISTRATION_GRACE);
    }

    /// Removes the backend servers whose entries are still missing at the end of the grace period;
    /// returns their ids.
    pub fn remove_expired(&mut self, now: time::Instant) -> Vec<ids::BackendId> {
        if self.grace_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.grace_until = None;
        let expired = std::mem::take(&mut self.missing);
        for id in &expired {
            self.remove(id);
        }
        expired
    }

    /// Removes a backend server that no longer accepts new requests.
    pub fn remove(&mut self, id: &str) -> Change {
        let Some(service) = self.service_of.remove(id) else { return Change::None };
        if let Some(backends) = self.services.get_mut(&service) {
            backends.remove(id);
        }
        Change::Removed
    }

    /// Ids of all backend servers.
    #[must_use]
    pub fn ids(&self) -> Vec<ids::BackendId> {
        self.service_of.keys().cloned().collect()
    }

    /// Backend servers of a service, sorted by id.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &BackendState> {
        self.services.get(service).into_iter().flat_map(|backends| backends.values())
    }

    /// Backend servers of all services.
    pub fn all(&self) -> impl Iterator<Item = &BackendState> {
        self.services.values().flat_map(|backends| backends.values())
    }

    /// Returns the backend server with an id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&BackendState> {
        self.services.get(self.service_of.get(id)?)?.get(id)
    }

    /// Returns the backend server with an id, for modification.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut BackendState> {
        self.services.get_mut(self.service_of.get(id)?)?.get_mut(id)
    }
}
