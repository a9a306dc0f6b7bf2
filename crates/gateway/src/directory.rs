//! Backend servers that the store names, and what this gateway knows of each.

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

/// After the store's return, entries that lapsed while it was away are written again within this
/// time; one that is still missing then is gone. Source: the store's documentation.
pub const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// What an update did to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters for placing.
    None,
    /// A backend server was added, or started again.
    Added,
    /// A backend server takes no more new requests.
    Removed,
}

/// All backend servers that may get new requests, by service.
#[derive(Debug, Default)]
pub struct Directory {
    services:
        collections::HashMap<ids::PoolId, collections::BTreeMap<ids::BackendId, BackendState>>,
    service_of: collections::HashMap<ids::BackendId, ids::PoolId>,
    lapsed: Vec<ids::BackendId>,
    grace_until: Option<time::Instant>,
}

impl Directory {
    /// An empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the present entry of a backend server.
    pub fn update(&mut self, backend: Backend) -> Change {
        self.lapsed.retain(|id| *id != backend.id);
        if backend.draining {
            return self.remove(&backend.id);
        }
        if let Some(known) = self.get_mut(&backend.id) {
            let same = known.backend.started_ms == backend.started_ms
                && known.backend.address == backend.address
                && known.backend.service == backend.service;
            if same {
                known.backend = backend;
                return Change::None;
            }
        }
        self.remove(&backend.id);
        self.service_of.insert(backend.id.clone(), backend.service.clone());
        let service = self.services.entry(backend.service.clone()).or_default();
        service.insert(backend.id.clone(), BackendState::new(backend));
        Change::Added
    }

    /// The entry of a backend server was removed or can't be read.
    ///
    /// Right after an outage of the store the entry may have lapsed; the backend server is then
    /// kept until [`Directory::remove_expired`] finds it still missing.
    pub fn mark_missing(&mut self, id: &str, now: time::Instant) -> Change {
        if self.grace_until.is_some_and(|until| now < until) && self.service_of.contains_key(id) {
            self.lapsed.push(id.to_owned());
            return Change::None;
        }
        self.remove(id)
    }

    /// The store answers again after an outage that was long enough for entries to lapse.
    pub fn start_grace_period(&mut self, now: time::Instant) {
        self.grace_until = Some(now + REREGISTRATION_GRACE);
    }

    /// Removes what lapsed during an outage and was not written again in time.
    pub fn remove_expired(&mut self, now: time::Instant) -> Vec<ids::BackendId> {
        if self.grace_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.grace_until = None;
        let gone = std::mem::take(&mut self.lapsed);
        for id in &gone {
            self.remove(id);
        }
        gone
    }

    /// A backend server takes no more new requests.
    pub fn remove(&mut self, id: &str) -> Change {
        let Some(service) = self.service_of.remove(id) else { return Change::None };
        if let Some(known) = self.services.get_mut(&service) {
            known.remove(id);
        }
        Change::Removed
    }

    /// Ids of all backend servers.
    #[must_use]
    pub fn ids(&self) -> Vec<ids::BackendId> {
        self.service_of.keys().cloned().collect()
    }

    /// Backend servers of a service, by id.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &BackendState> {
        self.services.get(service).into_iter().flat_map(|known| known.values())
    }

    /// Backend servers of all services.
    pub fn all(&self) -> impl Iterator<Item = &BackendState> {
        self.services.values().flat_map(|known| known.values())
    }

    /// One backend server.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&BackendState> {
        self.services.get(self.service_of.get(id)?)?.get(id)
    }

    /// One backend server, to change what is known of it.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut BackendState> {
        self.services.get_mut(self.service_of.get(id)?)?.get_mut(id)
    }
}
