//! Records the limits that backend servers name, logs their changes and counts them.

use tokio::time;

use crate::decision::backend_limit;
use crate::directory;
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
    }
}

/// Logs a change of a limit, and updates the metrics.
fn report_change(
    state: &state::State,
    backend: &str,
    started_ms: u64,
    change: backend_limit::Change,
    source: &str,
) {
    let count = state.backend_limits.borrow().count();
    state.metrics.record_limit(backend, change.limit(), count);
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
