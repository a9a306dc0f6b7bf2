//! Watches a table of the store: reads all of it once, then waits for changes.

use std::rc;
use std::time::Duration;

use azuregap_coordination::ids;
use tokio::sync;
use tokio::time;

use super::transfer;
use crate::state;
use crate::store;

/// Longest time that the store waits for a change before it responds. Each response confirms that
/// the known rows are current; this is less than half the time for which keys are trusted without
/// a confirmation.
pub(super) const WATCH_WAIT: Duration = Duration::from_millis(2_000);

/// Minimum time between the starts of two calls, so that several changes arrive in one response. It
/// is a third of the shortest time within which a draining backend server must get no new request.
const MIN_INTERVAL: Duration = Duration::from_millis(600);

/// Base of the delay after a failed call; doubles with each failure up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Longest delay after a failed call, before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Interval between two calls for a table while another watcher finds the store unavailable, in
/// case only that other table is.
const PROBE_INTERVAL: Duration = Duration::from_millis(2_000);

/// What is watched, and together with what.
pub(super) struct Options<'a> {
    pub(super) table: store::Table,
    /// A notification makes the next call return without waiting for a change.
    pub(super) refresh: &'a sync::Notify,
    /// Whether another watcher finds out when the store is available again.
    pub(super) is_follower: bool,
    /// How long the store waits for a change, if the last changes arrived for so long.
    pub(super) wait: &'a dyn Fn(Duration) -> Duration,
    /// Time within which changes are to be known.
    pub(super) bound: Duration,
}

/// Rows that the store returned.
pub(super) struct Update {
    pub(super) rows: store::Rows,
    /// Whether the rows are the whole table.
    pub(super) is_snapshot: bool,
    /// When the call started; the rows are at least as recent.
    pub(super) requested_at: time::Instant,
    /// Time since the last response if calls failed before this one, otherwise zero.
    pub(super) outage: Duration,
    /// Whether the rows are the first ones from a copy of the store: rows that were changed after
    /// the copy was made may be older than known ones, or missing.
    pub(super) is_from_copy: bool,
}

/// Result of a call to the store.
pub(super) enum Event {
    /// The store responded.
    Update(Update),
    /// The call failed or timed out.
    Failed,
}

/// Watches a table and passes each event to `handle_event`; never returns.
pub(super) async fn watch(
    state: rc::Rc<state::State>,
    store: rc::Rc<store::Store>,
    options: Options<'_>,
    mut handle_event: impl AsyncFnMut(Event),
) {
    let Options { table, refresh, is_follower, wait: wait_after, bound } = options;
    let mut version: Option<ids::RowVersion> = None;
    let mut era: Option<ids::Era> = None;
    let mut failures = 0_u32;
    let mut last_response = state.clock.now();
    let mut refresh_pending = false;
    let mut last_duration = Duration::ZERO;
    loop {
        let requested_at = state.clock.now();
        let call = async {
            match version {
                Some(version) => {
                    // After a failure, first find out whether the store is back.
                    let without_wait = failures > 0 || refresh_pending;
                    let longest = wait_after(last_duration);
                    let wait = if without_wait { Duration::ZERO } else { longest };
                    transfer::watch(&store, table, version, wait, bound, refresh).await
                }
                None => transfer::read(&store, table).await.map(Some),
            }
        };
        let result = call.await.transpose();
        refresh_pending = result.is_none();
        let Some(result) = result else { continue };
        let result = result.map(|response| {
            if !response.rows.rows.is_empty() {
                last_duration = response.duration;
            }
            response.rows
        });
        match result {
            Ok(rows) if state.observe_era(rows.era) => {
                tracing::info!(table = ?table, era = rows.era, "ignored a response of an older era");
                version = None;
                time::sleep(MAX_RETRY_DELAY).await;
            }
            Ok(rows) if version.is_some() && era != Some(rows.era) => {
                tracing::info!(
                    table = ?table,
                    era = rows.era,
                    "the store came back from a copy; rereading the table"
                );
                version = None;
            }
            Ok(rows) => {
                if failures > 0 {
                    tracing::info!(table = ?table, failures, "the store answers again");
                }
                let now = state.clock.now();
                let outage = if failures > 0 {
                    now.saturating_duration_since(last_response)
                } else {
                    Duration::ZERO
                };
                (failures, last_response) = (0, now);
                state.metrics.store_calls.with_label_values(&["answered"]).inc();
                let is_snapshot = version.is_none();
                let is_from_copy = era.is_some_and(|era| era != rows.era);
                (version, era) = (Some(rows.version), Some(rows.era));
                handle_event(Event::Update(Update {
                    rows,
                    is_snapshot,
                    requested_at,
                    outage,
                    is_from_copy,
                }))
                .await;
                let elapsed = state.clock.now().saturating_duration_since(requested_at);
                let delay = MIN_INTERVAL.saturating_sub(elapsed);
                refresh_pending = time::timeout(delay, refresh.notified()).await.is_ok();
            }
            Err(store::StoreError::Compacted) => {
                tracing::info!(table = ?table, version, "changes compacted; rereading the table");
                version = None;
            }
            Err(error) => {
                state.metrics.store_calls.with_label_values(&["failed"]).inc();
                if failures == 0 {
                    tracing::warn!(table = ?table, reason = error.to_string(), "the store is lost");
                }
                failures += 1;
                handle_event(Event::Failed).await;
                let delay = RETRY_DELAY * 2_u32.pow(failures.min(5));
                let jitter = 0.5 + rand::random::<f64>();
                time::sleep(delay.min(MAX_RETRY_DELAY).mul_f64(jitter)).await;
                if is_follower {
                    wait_for_store(&state).await;
                }
            }
        }
    }
}

/// Waits until the configuration's watcher gets a response from the store, at most for
/// [`PROBE_INTERVAL`].
async fn wait_for_store(state: &state::State) {
    let answering = async {
        loop {
            let finished = state.refresh_finished.notified();
            if state.freshness.borrow().is_store_answering() {
                return;
            }
            finished.await;
        }
    };
    // After the interval the table is asked for anyway.
    let _ = time::timeout(PROBE_INTERVAL, answering).await;
}
