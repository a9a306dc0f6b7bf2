//! Backend servers that are registered in the store, and what this gateway knows about them.

mod backend;
mod backend_state;
mod load;
mod notice;

use std::collections;
use std::time::Duration;

use azuregap_core::ids;
use tokio::time;

use crate::peers;

pub use backend::Backend;
pub use backend_state::BackendState;
pub use backend_state::id_hash;
pub use load::Load;
pub use load::RankLoad;

/// Entries that expire while the store is unavailable are written again within this time after it
/// returns, as its documentation states; an entry that is still missing then is gone.
pub const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// Time for which the other gateways are told that a run of a backend server is leaving.
const TELL_LEAVING: Duration = Duration::from_secs(3);

/// Maximum number of runs that the other gateways are told of.
const MAX_TOLD_LEAVING: usize = 64;

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
    /// Ids by the hashes that gateways use in messages.
    id_of: collections::HashMap<u32, ids::BackendId>,
    /// What backend servers say about themselves, also of those that are not in the directory.
    notices: notice::Notices,
    /// Backend servers whose entries went missing within the grace period.
    missing: Vec<ids::BackendId>,
    /// Runs that began to leave, and when that became known here.
    leaving: Vec<(peers::LeavingBackend, time::Instant)>,
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
            self.notices.record_leaving(&backend.id, backend.started_ms);
        }
        if self.notices.is_leaving(&backend.id, backend.started_ms) {
            return self.remove(&backend.id);
        }
        self.notices.record_presence(&backend.id, backend.started_ms);
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
        self.id_of.insert(id_hash(&backend.id), backend.id.clone());
        let backends = self.services.entry(backend.service.clone()).or_default();
        backends.insert(backend.id.clone(), BackendState::new(backend));
        Change::Added
    }

    /// Applies an entry from a copy of the store, which may be older than what is known: a run whose
    /// entry was gone stays removed until it writes its entry again, and a later run stays.
    pub fn update_from_copy(&mut self, backend: Backend) -> Change {
        let known = self.get(&backend.id).map(|state| state.backend.started_ms);
        let is_older = known.is_some_and(|started_ms| started_ms > backend.started_ms);
        if is_older || self.notices.is_gone(&backend.id, backend.started_ms) {
            return Change::None;
        }
        self.update(backend)
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
        let hash = id_hash(id);
        if self.id_of.get(&hash).is_some_and(|known| known == id) {
            self.id_of.remove(&hash);
        }
        let backends = self.services.get_mut(&service);
        if let Some(state) = backends.and_then(|backends| backends.remove(id)) {
            self.notices.record_gone(id, state.backend.started_ms);
        }
        Change::Removed
    }

    /// Records that a run of a backend server says that it is leaving, and removes it. Its entry in
    /// the store may say so later. Returns whether this is news.
    pub fn record_leaving(&mut self, id: &str, started_ms: u64, now: time::Instant) -> bool {
        let is_news = self.notices.record_leaving(id, started_ms);
        if is_news {
            let leaving = peers::LeavingBackend { backend_hash: id_hash(id), started_ms };
            self.leaving.retain(|(_, at)| now.saturating_duration_since(*at) < TELL_LEAVING);
            self.leaving.truncate(MAX_TOLD_LEAVING - 1);
            self.leaving.push((leaving, now));
        }
        if self.get(id).is_some_and(|state| state.backend.started_ms == started_ms) {
            self.remove(id);
        }
        is_news
    }

    /// Records that another gateway has been told by a run of a backend server that it is leaving.
    /// Returns whether this is news.
    pub fn record_told_leaving(
        &mut self,
        leaving: &peers::LeavingBackend,
        now: time::Instant,
    ) -> bool {
        let Some(id) = self.id_of.get(&leaving.backend_hash).cloned() else { return false };
        let state = self.get(&id);
        state.is_some_and(|state| state.backend.started_ms == leaving.started_ms)
            && self.record_leaving(&id, leaving.started_ms, now)
    }

    /// Runs that the other gateways are told of.
    #[must_use]
    pub fn recently_leaving(&self, now: time::Instant) -> Vec<peers::LeavingBackend> {
        let is_recent = |at: &time::Instant| now.saturating_duration_since(*at) < TELL_LEAVING;
        let recent = self.leaving.iter().filter(|(_, at)| is_recent(at));
        recent.map(|(leaving, _)| *leaving).collect()
    }

    /// Records for how long a run of a backend server wants no requests.
    pub fn record_quiet_period(
        &mut self,
        id: &str,
        started_ms: u64,
        length: Duration,
        now: time::Instant,
    ) {
        self.notices.quiet_period_mut(id, started_ms).start(length, now);
    }

    /// Records that a request is sent to a run of a backend server.
    pub fn record_send(&mut self, id: &str, started_ms: u64, now: time::Instant) {
        if let Some(quiet) = self.notices.find_quiet_period(id, started_ms) {
            quiet.record_send(now);
        }
    }

    /// Records that a run of a backend server accepted a request.
    pub fn record_acceptance(&mut self, id: &str, started_ms: u64) {
        if let Some(quiet) = self.notices.find_quiet_period(id, started_ms) {
            quiet.record_acceptance();
        }
    }

    /// Time until a backend server wants requests again; zero if it has not asked for quiet.
    #[must_use]
    pub fn quiet_time_left(&self, backend: &Backend, now: time::Instant) -> Duration {
        self.notices.quiet_time_left(&backend.id, backend.started_ms, now)
    }

    /// Records segments that backend servers have read for other gateways.
    pub fn record_reads(&mut self, reads: &[peers::CachedSegment], now: time::Instant) {
        for read in reads {
            let Some(id) = self.id_of.get(&read.backend_hash) else { continue };
            let service = self.service_of.get(id).and_then(|name| self.services.get_mut(name));
            if let Some(state) = service.and_then(|backends| backends.get_mut(id)) {
                state.prefix_cache.insert_id(read.segment, now);
            }
        }
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

    /// Whether a run of a backend server is in the directory: it isn't known to leave, to be gone or to
    /// have been replaced.
    #[must_use]
    pub fn has_run(&self, id: &str, started_ms: u64) -> bool {
        self.get(id).is_some_and(|state| state.backend.started_ms == started_ms)
    }

    /// Returns the backend server with an id, for modification.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut BackendState> {
        self.services.get_mut(self.service_of.get(id)?)?.get_mut(id)
    }
}
