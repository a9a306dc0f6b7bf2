//! Suspects of crashes in the store, for a fleet whose processes all end at once.
//!
//! They stand in the list of gateways, which each gateway reads when it starts and now and then
//! after it, so they take no further reads. Gateways that run tell each other directly.

use std::rc;
use std::time::Duration;

use tokio::time;

use crate::decision::quarantine;
use crate::state;
use crate::store;
use crate::suspects;

/// Prefix of the keys of segments; the names of gateways have no slash.
const SEGMENT_PREFIX: &str = "quarantine/";

/// Prefix of the keys of requests, which gateways of earlier versions don't know.
const REQUEST_PREFIX: &str = "quarantine-request/";

/// Source of what the store has, in logs.
const SOURCE: &str = "store";

/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Timeout of a write.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a row of the list of gateways is one of these.
pub(super) fn is_suspect(row: &store::Row) -> bool {
    [SEGMENT_PREFIX, REQUEST_PREFIX].iter().any(|prefix| row.key.starts_with(prefix))
}

fn decode(row: &store::Row) -> Result<quarantine::Suspect, serde_json::Error> {
    let data = row.data.as_deref().unwrap_or_default();
    if row.key.starts_with(REQUEST_PREFIX) {
        return serde_json::from_slice(data);
    }
    serde_json::from_slice::<quarantine::SegmentSuspect>(data).map(quarantine::Suspect::from)
}

/// Key and content of the row of a suspect.
fn encode(suspect: &quarantine::Suspect) -> (String, Vec<u8>) {
    let (prefix, data) = match suspect.as_segment() {
        Some(segment) => (SEGMENT_PREFIX, serde_json::to_vec(&segment)),
        None => (REQUEST_PREFIX, serde_json::to_vec(suspect)),
    };
    (format!("{prefix}{}", suspect.id), data.expect("a suspect can be encoded as JSON"))
}

/// Adds the suspect in a row to the quarantine; returns whether the row can be removed.
pub(super) fn load(state: &state::State, row: &store::Row) -> bool {
    let saved = match decode(row) {
        Ok(saved) => saved,
        Err(error) => {
            let reason = error.to_string();
            tracing::warn!(key = row.key, reason, "invalid suspect of crashes");
            return true;
        }
    };
    let now = state.time_of_day();
    let is_obsolete = state.quarantine.borrow().is_obsolete(&saved, now);
    if !is_obsolete && suspects::record_told(state, &[saved], SOURCE) {
        state.announce_news();
    }
    is_obsolete
}

/// Saves the suspects that requests of this gateway have shown to crash backend servers.
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

/// Saves a suspect; returns whether the store has confirmed it.
async fn save_one(
    state: &state::State,
    store: &store::Store,
    suspect: &quarantine::Suspect,
) -> bool {
    let (key, data) = encode(suspect);
    let write = store::Write { key, data: Some(data), expected_version: None };
    let commit = store::Commit {
        table: store::Table::Gateways,
        writes: vec![write],
        preconditions: Vec::new(),
    };
    let result = time::timeout(CALL_TIMEOUT, (store.commit)(commit)).await;
    let reason = match result {
        Ok(Ok(receipt)) => {
            state.observe_era(receipt.era);
            state.quarantine.borrow_mut().mark_saved(suspect);
            return true;
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no response in time".to_owned(),
    };
    let suspect = suspect.id.to_string();
    tracing::info!(suspect, reason, "failed to save a suspect of crashes");
    false
}
