//! Asks for places at cold backend servers, and logs and counts which are cold.

use std::time::Duration;

use tokio::time;

use crate::configuration;
use crate::decision::backend_limit;
use crate::decision::cold_server;
use crate::directory;
use crate::state;

/// Error of the clocks by which the age of a run is told.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(2);

/// Age of a run that no error of the clocks explains.
const SURELY_OLD: Duration = Duration::from_secs(60);

/// How the cold backend servers of a service are protected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Protection {
    start: configuration::ColdStart,
    allowance: cold_server::Allowance,
}

/// How the cold backend servers of a service are protected; `None` if they aren't.
pub(crate) fn protection(state: &state::State, service: &str) -> Option<Protection> {
    let bound = state.settings.cold_bound?;
    let start = state.configuration()?.find_service(service)?.cold_start?;
    Some(Protection { start, allowance: bound.allowance(start.pace) })
}

impl Protection {
    /// Requests per second that a cold backend server gets from all gateways together.
    pub(crate) const fn pace(&self) -> f64 {
        self.allowance.pace
    }

    /// Whether this gateway may send a request to a backend server, as far as cold ones are concerned.
    pub(crate) fn place(&self, state: &state::State, backend: u32) -> backend_limit::Place {
        let (warm_up, now) = (self.start.duration, state.clock.now());
        let pace = || self.own_pace(state, backend);
        state.cold_servers.borrow_mut().place(backend, warm_up, pace, now)
    }

    /// Takes a place if the backend server is cold; returns whether a request may be sent to it.
    pub(crate) fn try_send(&self, state: &state::State, backend: u32) -> bool {
        let (warm_up, now) = (self.start.duration, state.clock.now());
        let pace = || self.own_pace(state, backend);
        let may_send = state.cold_servers.borrow_mut().try_send(backend, warm_up, pace, now);
        if may_send && self.cold_left(state, backend).is_some() {
            state.metrics.cold_sends.inc();
        }
        may_send
    }

    /// How long a backend server stays cold; `None` if it is warm.
    pub(crate) fn cold_left(&self, state: &state::State, backend: u32) -> Option<Duration> {
        let now = state.clock.now();
        state.cold_servers.borrow().cold_left(backend, self.start.duration, now)
    }

    /// Requests per second that this gateway may send to a cold backend server.
    fn own_pace(&self, state: &state::State, backend: u32) -> Option<f64> {
        let share = state.cold_share(backend, self.allowance.holders)?;
        Some(share * self.allowance.pace)
    }
}

/// Records the entry of a backend server that was read. In the first read, runs that aren't known yet
/// are as old as their entries say; later ones are new.
pub(crate) fn record_entry(
    state: &state::State,
    backend: &directory::Backend,
    is_first_read: bool,
) {
    if state.settings.cold_bound.is_none() {
        return;
    }
    let started = Duration::from_millis(backend.started_ms) + MAX_CLOCK_ERROR;
    let age = state.time_of_day().saturating_sub(started);
    // After an outage of the store, entries of runs that are old come back one by one.
    let is_age_known = is_first_read || age >= SURELY_OLD;
    let entry = cold_server::Entry {
        started_ms: backend.started_ms,
        cold_left: backend.cold_left,
        age: if is_age_known { age } else { Duration::ZERO },
    };
    let (hash, now) = (directory::id_hash(&backend.id), state.clock.now());
    state.cold_servers.borrow_mut().record_entry(hash, &entry, now);
}

/// Records that a connection to a backend server was refused or lost.
pub(crate) fn record_loss(state: &state::State, service: &str, backend: &str) {
    if protection(state, service).is_some() {
        let (hash, now) = (directory::id_hash(backend), state.clock.now());
        state.cold_servers.borrow_mut().record_loss(hash, now);
        report_changes(state, None);
    }
}

/// Records that an availability zone was taken back.
pub(crate) fn record_return(state: &state::State, zone: &str) {
    let (directory, now) = (state.directory.borrow(), state.clock.now());
    let mut servers = state.cold_servers.borrow_mut();
    for server in directory.all().filter(|server| server.backend.zone == zone) {
        servers.record_return(server.hash, now);
    }
}

/// Logs which backend servers have turned cold or warm, and wakes the requests that wait for them.
/// `known` is the version of the newest rows and when they were read, if they are the reason.
pub(crate) fn report_changes(state: &state::State, known: Option<(u64, time::Instant)>) {
    if state.settings.cold_bound.is_none() {
        return;
    }
    let (directory, now) = (state.directory.borrow(), state.clock.now());
    let (mut cold, mut has_changed) = (0, false);
    for server in directory.all() {
        let Some(protection) = protection(state, &server.backend.service) else { continue };
        let warm_up = protection.start.duration;
        let mut servers = state.cold_servers.borrow_mut();
        let left = servers.cold_left(server.hash, warm_up, now);
        cold += i64::from(left.is_some());
        let Some(cause) = servers.note(server.hash, warm_up, now) else { continue };
        has_changed = true;
        if !state.log_limiter.allow_failure(time::Instant::now()) {
            continue;
        }
        let age = known.map(|(_, read_at)| now.saturating_duration_since(read_at));
        tracing::info!(
            backend = server.backend.id,
            started_ms = server.backend.started_ms,
            cause = cause.name(),
            left_ms = left.map(|left| left.as_millis() as u64),
            version = known.map(|(version, _)| version),
            age_ms = age.map(|age| age.as_millis() as u64),
            "{}",
            if left.is_some() { "backend server is cold" } else { "backend server is warm" }
        );
    }
    state.metrics.cold_backends.set(cold);
    if has_changed {
        state.capacity_changed.notify_waiters();
    }
}
