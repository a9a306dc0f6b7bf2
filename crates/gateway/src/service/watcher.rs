//! Follows a table of the store: reads it whole, then waits for changes.

use std::rc;
use std::time::Duration;

use azuregap_coordination::ids;
use tokio::sync;
use tokio::time;

use crate::state;
use crate::store;

/// Longest wait for a change; each answer proves that the store is in touch. Source: less than
/// half of the time for which keys are trusted without a proof.
const WAIT: Duration = Duration::from_millis(2_000);

/// Least time from one answer to the next question, so that changes are taken together. Source:
/// a third of the shortest time in which a leaving backend server must get no new request.
const LEAST_INTERVAL: Duration = Duration::from_millis(600);

/// Time for an answer beyond the wait; a connection that is silent for longer is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for a whole read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// First pause after a failed call; doubles up to [`MOST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause after a failed call.
const MOST_PAUSE: Duration = Duration::from_millis(400);

/// What was learnt from the store.
pub(super) struct Update {
    pub(super) rows: store::Rows,
    /// Whether the rows are the whole table.
    pub(super) is_snapshot: bool,
    /// When the store was asked; the news are at least as new.
    pub(super) requested_at: time::Instant,
    /// How long the store could not be reached before.
    pub(super) outage: Duration,
}

/// What happened at the store.
pub(super) enum Event {
    /// It answered.
    Update(Update),
    /// A question was not answered.
    Lost,
}

/// Follows a table for ever and hands on what changes.
///
/// While somebody doubts what is known, the store is asked without a wait.
pub(super) async fn watch(
    state: rc::Rc<state::State>,
    store: rc::Rc<store::Store>,
    table: store::Table,
    doubt: &sync::Notify,
    mut take: impl FnMut(Event),
) {
    let mut version: Option<ids::RowVersion> = None;
    let mut failures = 0_u32;
    let mut answered = state.clock.now();
    let mut doubted = false;
    loop {
        let asked = state.clock.now();
        let read = async {
            match version {
                Some(version) => {
                    // After a failure, a proof that the store is back comes first.
                    let at_once = failures > 0 || doubted;
                    let wait = if at_once { Duration::ZERO } else { WAIT };
                    let watch = (store.watch)(table, version, wait);
                    time::timeout(wait + ANSWER_TIMEOUT, watch).await
                }
                None => time::timeout(READ_TIMEOUT, (store.read)(table)).await,
            }
        };
        let can_hurry = version.is_some() && failures == 0 && !doubted;
        let result = tokio::select! {
            biased;
            result = read => result,
            () = doubt.notified(), if can_hurry => {
                doubted = true;
                continue;
            }
        };
        let result = result.unwrap_or_else(|_| {
            Err(store::StoreError::OutcomeUnknown("no answer in time".to_owned()))
        });
        doubted = false;
        match result {
            Ok(rows) => {
                if failures > 0 {
                    tracing::info!(table = ?table, failures, "the store answers again");
                }
                let now = state.clock.now();
                let outage = if failures > 0 {
                    now.saturating_duration_since(answered)
                } else {
                    Duration::ZERO
                };
                (failures, answered) = (0, now);
                state.metrics.store_calls.with_label_values(&["answered"]).inc();
                let whole = version.is_none();
                version = Some(rows.version);
                take(Event::Update(Update {
                    rows,
                    is_snapshot: whole,
                    requested_at: asked,
                    outage,
                }));
                let spent = state.clock.now().saturating_duration_since(asked);
                let rest = LEAST_INTERVAL.saturating_sub(spent);
                doubted = time::timeout(rest, doubt.notified()).await.is_ok();
            }
            Err(store::StoreError::Compacted) => {
                tracing::info!(table = ?table, version, "the history is gone; reading all again");
                version = None;
            }
            Err(error) => {
                state.metrics.store_calls.with_label_values(&["failed"]).inc();
                if failures == 0 {
                    tracing::warn!(table = ?table, reason = error.to_string(), "the store is lost");
                }
                failures += 1;
                take(Event::Lost);
                let pause = FIRST_PAUSE * 2_u32.pow(failures.min(5));
                let spread = 0.5 + rand::random::<f64>();
                time::sleep(pause.min(MOST_PAUSE).mul_f64(spread)).await;
            }
        }
    }
}
