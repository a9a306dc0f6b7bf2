//! RAII guards that count requests while they are in progress.

use std::cell;
use std::rc;

use azuregap_core::ids;

use super::attempt;
use super::observation;
use crate::decision::priority;
use crate::decision::retry_budget;
use crate::directory;
use crate::state;

/// Counts a request that this process is serving, until it is dropped.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    state: rc::Rc<state::State>,
}

impl ActiveRequest {
    pub(super) fn new(state: &rc::Rc<state::State>) -> Self {
        state.active_requests.set(state.active_requests.get() + 1);
        Self { state: state.clone() }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.state.active_requests.set(self.state.active_requests.get().saturating_sub(1));
    }
}

/// Counts a client connection that has carried a request, until it is dropped.
#[derive(Debug)]
pub(super) struct UsedConnection {
    state: rc::Rc<state::State>,
    is_used: cell::Cell<bool>,
}

impl UsedConnection {
    pub(super) fn new(state: &rc::Rc<state::State>) -> Self {
        Self { state: state.clone(), is_used: cell::Cell::new(false) }
    }

    /// Records that the connection carries a request.
    pub(super) fn record_request(&self) {
        if !self.is_used.replace(true) {
            self.state.used_connections.set(self.state.used_connections.get() + 1);
        }
    }
}

impl Drop for UsedConnection {
    fn drop(&mut self) {
        if self.is_used.get() {
            self.state.used_connections.set(self.state.used_connections.get().saturating_sub(1));
        }
    }
}

/// Counts a request in the load of a backend server, until it is dropped.
#[derive(Debug)]
pub(super) struct LoadGuard {
    state: rc::Rc<state::State>,
    backend: ids::BackendId,
    started_ms: u64,
    rank: priority::Rank,
    load: directory::RankLoad,
    long_prompts: u32,
    observation: observation::Observation,
}

impl LoadGuard {
    /// Adds a request to the load of a backend server, with the prompt tokens that the server has
    /// to prefill.
    pub(super) fn new(
        state: &rc::Rc<state::State>,
        target: &attempt::Target,
        rank: priority::Rank,
        is_long: bool,
        observation: observation::Observation,
    ) -> Self {
        let load = directory::RankLoad { in_flight: 1, pending_prefill: target.uncached_tokens };
        let (backend, started_ms) = (target.id.clone(), target.started_ms);
        let long_prompts = u32::from(is_long);
        let state = state.clone();
        let guard = Self { state, backend, started_ms, rank, load, long_prompts, observation };
        guard.update(|total| {
            total.long_prompts += long_prompts;
            *total.rank_mut(rank) += load;
        });
        guard
    }

    /// Removes the pending prefill from the load: the first event shows that the prompt was read.
    pub(super) fn prefill_done(&mut self) {
        let prefilled =
            directory::RankLoad { in_flight: 0, pending_prefill: self.load.pending_prefill };
        self.load -= prefilled;
        self.update(|total| *total.rank_mut(self.rank) -= prefilled);
    }

    /// What is seen of the backend server's speed.
    pub(super) const fn observation(&mut self) -> &mut observation::Observation {
        &mut self.observation
    }

    /// Changes the load of the backend server, unless it has restarted in the meantime.
    fn update(&self, update: impl FnOnce(&mut directory::Load)) {
        let mut directory = self.state.directory.borrow_mut();
        let server = directory.get_mut(&self.backend);
        if let Some(server) = server.filter(|server| server.backend.started_ms == self.started_ms) {
            update(&mut server.own_load);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.update(|total| {
            total.long_prompts = total.long_prompts.saturating_sub(self.long_prompts);
            *total.rank_mut(self.rank) -= self.load;
        });
        self.state.capacity_changed.notify_waiters();
    }
}

/// Counts a retry as in transit, until it is dropped; a first send takes none.
#[derive(Debug)]
pub(super) struct RetryGuard {
    state: rc::Rc<state::State>,
    grant: Option<retry_budget::Grant>,
}

impl RetryGuard {
    pub(super) fn new(state: &rc::Rc<state::State>, grant: Option<retry_budget::Grant>) -> Self {
        Self { state: state.clone(), grant }
    }
}

impl Drop for RetryGuard {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.state.retry_budget.borrow_mut().release(grant, self.state.clock.now());
        }
    }
}
