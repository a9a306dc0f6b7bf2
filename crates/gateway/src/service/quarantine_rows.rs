//! Quarantined prompt segments in the store, for a fleet whose processes all end at once.
//!
//! They stand in the list of gateways, which each gateway reads when it starts and now and then
//! after it, so they take no further reads. Gateways that run tell each other directly.

use std::rc;
use std::time::Duration;

use tokio::time;

use crate::decision::quarantine;
use crate::state;
use crate::store;

/// Prefix of the keys; the names of gateways have no slash.
const KEY_PREFIX: &str = "quarantine/";

/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Timeout of a write.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a row of the list of gateways is one of these.
pub(super) fn is_segment(row: &store::Row) -> bool {
    row.key.starts_with(KEY_PREFIX)
}

/// Adds the segment in a row to the quarantine; returns whether the row can be removed.
pub(super) fn load(state: &state::State, row: &store::Row) -> bool {
    let saved = serde_json::from_slice(row.data.as_deref().unwrap_or_default());
    let saved: quarantine::Suspect = match saved {
        Ok(saved) => saved,
        Err(error) => {
            let reason = error.to_string();
            tracing::warn!(key = row.key, reason, "invalid quarantined segment");
            return true;
        }
    };
    let now = state.time_of_day();
    let is_obsolete = state.quarantine.borrow().is_obsolete(&saved, now);
    if !is_obsolete && state.quarantine.borrow_mut().merge(&[saved], now) {
        state.announce_news();
    }
    is_obsolete
}

/// Saves the segments that requests of this gateway have shown to crash backend servers.
pub(super) async fn save(state: rc::Rc<state::State>, store: rc::Rc<store::Store>) {
    let mut changes = state.news.subscribe();
    // The sender is part of the state, so the channel stays open.
    while changes.changed().await.is_ok() {
        loop {
            let unsaved = state.quarantine.borrow().unsaved();
            let mut is_complete = true;
            for suspect in unsaved {
                is_complete &= save_one(&state, &store, &suspect).await;
            }
            if is_complete {
                break;
            }
            time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Saves a segment; returns whether the store has confirmed it.
async fn save_one(
    state: &state::State,
    store: &store::Store,
    suspect: &quarantine::Suspect,
) -> bool {
    let data = serde_json::to_vec(suspect).expect("a suspect can be encoded as JSON");
    let segment = format!("{:x}", suspect.segment);
    let write = store::Write {
        key: format!("{KEY_PREFIX}{segment}"),
        data: Some(data),
        expected_version: None,
    };
    let commit = store::Commit {
        table: store::Table::Gateways,
        writes: vec![write],
        preconditions: Vec::new(),
    };
    let result = time::timeout(CALL_TIMEOUT, (store.commit)(commit)).await;
    let reason = match result {
        Ok(Ok(receipt)) => {
            state.observe_era(receipt.era);
            state.quarantine.borrow_mut().mark_saved(suspect.segment);
            return true;
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no response in time".to_owned(),
    };
    tracing::info!(segment, reason, "failed to save a quarantined segment");
    false
}
