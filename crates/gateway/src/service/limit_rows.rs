//! Limits of backend servers in the store, for a fleet whose processes all end at once.
//!
//! Like quarantined prompt segments, they stand in the list of gateways. Only the gateways that send
//! to a backend server write its row.

use std::rc;
use std::time::Duration;

use tokio::time;

use crate::backend_limits;
use crate::decision::backend_limit;
use crate::state;
use crate::store;

/// Prefix of the keys; the names of gateways have no slash.
const KEY_PREFIX: &str = "limit/";

/// Interval at which a gateway looks for limits that it has come to save.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Writes of all gateways per second, a small part of the store's capacity.
const WRITES_PER_SECOND: f64 = 100.0;

/// Longest time over which writes are spread.
const MAX_SPREAD: Duration = Duration::from_secs(30);

/// Maximum rows in one commit.
const MAX_WRITES: usize = 50;

/// Timeout of a write.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a row of the list of gateways is one of these.
pub(super) fn is_limit(row: &store::Row) -> bool {
    row.key.starts_with(KEY_PREFIX)
}

/// Takes over the limit in a row, unless more is known; returns whether the row can be removed.
pub(super) fn load(state: &state::State, row: &store::Row) -> bool {
    let saved = serde_json::from_slice(row.data.as_deref().unwrap_or_default());
    let saved: backend_limit::SavedLimit = match saved {
        Ok(saved) => saved,
        Err(error) => {
            tracing::warn!(key = row.key, reason = error.to_string(), "invalid limit");
            return true;
        }
    };
    let is_obsolete = state.backend_limits.borrow().is_obsolete(&saved, state.time_of_day());
    if !is_obsolete {
        backend_limits::record_saved(state, &saved);
    }
    is_obsolete
}

/// Saves the limits of backend servers that this gateway sends to, and removes those that have ended.
pub(super) async fn save(state: rc::Rc<state::State>, store: rc::Rc<store::Store>) {
    let mut changes = state.news.subscribe();
    loop {
        // Whether there is a change or not, the next round looks at what there is now.
        let _ = time::timeout(CHECK_INTERVAL, changes.changed()).await;
        if unsaved(&state).is_empty() {
            continue;
        }
        let writes = (state.backend_limits.borrow().count() * backend_limit::HOLDERS) as f64;
        let spread = Duration::from_secs_f64(writes / WRITES_PER_SECOND).min(MAX_SPREAD);
        time::sleep(spread.mul_f64(rand::random())).await;
        save_all(&state, &store, &unsaved(&state)).await;
    }
}

fn unsaved(state: &state::State) -> Vec<backend_limit::Unsaved> {
    let is_holder = |backend| state.limit_share(backend).is_some();
    let mut unsaved = state.backend_limits.borrow().unsaved(is_holder);
    unsaved.truncate(MAX_WRITES);
    unsaved
}

async fn save_all(state: &state::State, store: &store::Store, unsaved: &[backend_limit::Unsaved]) {
    let saved_at = state.time_of_day();
    let write = |unsaved: &backend_limit::Unsaved| {
        let backend_limit::Unsaved { backend_hash, started_ms, limit } = *unsaved;
        let data = limit.map(|limit| {
            let saved = backend_limit::SavedLimit { backend_hash, started_ms, limit, saved_at };
            serde_json::to_vec(&saved).expect("a limit can be encoded as JSON")
        });
        store::Write {
            key: format!("{KEY_PREFIX}{backend_hash:08x}"),
            data,
            expected_version: None,
        }
    };
    let commit = store::Commit {
        table: store::Table::Gateways,
        writes: unsaved.iter().map(write).collect(),
        preconditions: Vec::new(),
    };
    let reason = match time::timeout(CALL_TIMEOUT, (store.commit)(commit)).await {
        Ok(Ok(receipt)) => {
            state.observe_era(receipt.era);
            let mut limits = state.backend_limits.borrow_mut();
            return unsaved.iter().for_each(|unsaved| limits.mark_saved(unsaved));
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no response in time".to_owned(),
    };
    tracing::info!(count = unsaved.len(), reason, "failed to save limits of backend servers");
}
