//! Records the limits that backend servers name, logs and counts their changes, and passes them on.

use azuregap_core::ids;
use tokio::time;

use crate::decision::backend_limit;
use crate::directory;
use crate::metrics;
use crate::state;

/// Records what a run of a backend server said in a response to this gateway.
pub(crate) fn record_response(
    state: &state::State,
    backend: &str,
    started_ms: u64,
    statement: &backend_limit::Statement,
) {
    let hash = directory::id_hash(backend);
    let now = state.clock.now();
    let change = state.backend_limits.borrow_mut().record(hash, started_ms, statement, now);
    if let Some(change) = change {
        report_change(state, backend, started_ms, change, "response");
        if is_news(change) {
            state.announce_news();
        }
    }
}

/// Whether a change is told at once. Another number concerns only the gateways that send to the
/// backend server; they hear it themselves or in the regular messages.
const fn is_news(change: backend_limit::Change) -> bool {
    !matches!(change, backend_limit::Change::Changed(_))
}

/// Records what another gateway tells; returns whether it is news.
pub(crate) fn record_told(
    state: &state::State,
    told: &backend_limit::ToldLimit,
    from: &str,
) -> bool {
    let change = state.backend_limits.borrow_mut().record_told(told, state.clock.now());
    let Some(change) = change else { return false };
    let backend = name_of(state, told.backend_hash);
    report_change(state, &backend, told.started_ms, change, from);
    is_news(change)
}

/// Takes over a limit that the store has.
pub(crate) fn record_saved(state: &state::State, saved: &backend_limit::SavedLimit) {
    let change = state.backend_limits.borrow_mut().record_saved(saved, state.clock.now());
    if let Some(change) = change {
        let backend = name_of(state, saved.backend_hash);
        report_change(state, &backend, saved.started_ms, change, "store");
    }
}

/// Updates the metrics of the limits that known backend servers name.
pub(crate) fn update_metrics(state: &state::State) {
    let (limits, directory) = (state.backend_limits.borrow(), state.directory.borrow());
    let limited = |server: &directory::BackendState| {
        let whole = limits.limit(server.hash, server.backend.started_ms)?;
        let own = whole * state.limit_share(server.hash).unwrap_or(0.0);
        Some((server.backend.id.clone(), metrics::LimitUse { whole, own }))
    };
    state.metrics.record_limits(&directory.all().filter_map(limited).collect());
}

/// Id of a backend server; its hash if its entry has not been read.
fn name_of(state: &state::State, hash: u32) -> ids::BackendId {
    let directory = state.directory.borrow();
    let server = directory.all().find(|server| server.hash == hash);
    server.map_or_else(|| format!("{hash:08x}"), |server| server.backend.id.clone())
}

/// Logs a change of a limit, and wakes the requests that wait for a place.
fn report_change(
    state: &state::State,
    backend: &str,
    started_ms: u64,
    change: backend_limit::Change,
    source: &str,
) {
    state.capacity_changed.notify_waiters();
    if !state.log_limiter.allow_failure(time::Instant::now()) {
        return;
    }
    let message = match change {
        backend_limit::Change::Named(_) => "backend server names a limit",
        backend_limit::Change::Changed(_) => "backend server changes its limit",
        backend_limit::Change::Ended => "backend server names no limit any more",
    };
    tracing::info!(backend, started_ms, limit = change.limit(), source, "{message}");
}
