//! Registers this gateway in the list of gateways in the store, and keeps up with the list.

use std::net;
use std::rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time;

use super::quarantine_rows;
use crate::peers;
use crate::state;
use crate::store;

/// Minimum interval between reads of the list of gateways, once the initial backoff has ended.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(20);

/// Interval between reads of the list per listed gateway: all gateways together read it ten times a
/// second, a small part of the store's capacity.
const LIST_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(100);

/// First interval between reads of the list of gateways; doubles with each successful read.
const INITIAL_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time over which the gateways register again after the store came back from a copy.
const REREGISTRATION_SPREAD: Duration = Duration::from_secs(1);

/// Maximum entries of silent gateways that are removed after one read of the list.
const MAX_REMOVALS: usize = 10;

/// Entry of a gateway in the store.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Entry {
    address: net::SocketAddr,
}

/// Registers this gateway in the store and reads the list of the others.
///
/// It registers before it reads: of two gateways that start at the same time, at least one finds
/// the other and introduces itself with its first message.
pub(super) async fn maintain(state: rc::Rc<state::State>, store: rc::Rc<store::Store>) {
    let mut interval = INITIAL_LIST_INTERVAL;
    let mut reporter_since = None;
    let mut era = state.store_era.subscribe();
    loop {
        let result = register_and_list(&state, &store).await;
        match &result {
            Ok(rows) => remove_silent(&state, &store, rows, &mut reporter_since).await,
            Err(error) => {
                tracing::info!(
                    reason = error.to_string(),
                    "failed to register or to read the list of gateways"
                );
            }
        }
        if time::timeout(interval, era.changed()).await.is_ok() {
            // The entry may be lost; all gateways notice that at the same time.
            time::sleep(REREGISTRATION_SPREAD.mul_f64(rand::random())).await;
            state.registered.set(false);
            state.quarantine.borrow_mut().forget_saved();
            state.announce_news();
            interval = INITIAL_LIST_INTERVAL;
            continue;
        }
        if result.is_ok() {
            let gateways = u32::try_from(state.gateway_count()).unwrap_or(u32::MAX);
            interval =
                (interval * 2).min(MIN_LIST_INTERVAL.max(LIST_INTERVAL_PER_GATEWAY * gateways));
        }
    }
}

async fn register_and_list(
    state: &state::State,
    store: &store::Store,
) -> Result<store::Rows, store::StoreError> {
    let table = store::Table::Gateways;
    let node = &state.settings.node;
    let entry = Entry { address: state.settings.gossip_address };
    let data = serde_json::to_vec(&entry).expect("an entry can be encoded as JSON");
    if !state.registered.get() {
        let write =
            store::Write { key: node.clone(), data: Some(data.clone()), expected_version: None };
        (store.commit)(store::Commit { table, writes: vec![write], preconditions: Vec::new() })
            .await
            .map(|receipt| state.observe_era(receipt.era))?;
        state.registered.set(true);
        tracing::info!(address = %entry.address, "registered in the list of gateways");
    }
    let rows = (store.read)(table).await?;
    state.observe_era(rows.era);
    let own = rows.rows.iter().find(|row| row.key == *node);
    state.registered.set(own.is_some_and(|row| row.data.as_ref() == Some(&data)));
    let now = state.clock.now();
    for row in rows.rows.iter().filter(|row| row.key != *node) {
        if quarantine_rows::is_segment(row) {
            quarantine_rows::load(state, row);
            continue;
        }
        let entry: Result<Entry, _> =
            serde_json::from_slice(row.data.as_deref().unwrap_or_default());
        match entry {
            Ok(entry) => state.peers.borrow_mut().add_listed(row.key.clone(), entry.address, now),
            Err(error) => {
                tracing::warn!(
                    gateway = row.key,
                    reason = error.to_string(),
                    "invalid gateway entry"
                );
            }
        }
    }
    Ok(rows)
}

/// Removes the entries of gateways that have been silent for long, and those of prompt segments that
/// are no longer quarantined.
///
/// Only gateways that may report usage receive messages from every gateway, and only some time
/// after they became one. A live gateway that was removed registers again at its next read of the
/// list.
async fn remove_silent(
    state: &state::State,
    store: &store::Store,
    rows: &store::Rows,
    reporter_since: &mut Option<time::Instant>,
) {
    let now = state.clock.now();
    if !state.peers.borrow().is_among_first(&state.settings.node, peers::REPORTER_COUNT, now) {
        *reporter_since = None;
        return;
    }
    let since = *reporter_since.get_or_insert(now);
    if now.saturating_duration_since(since) < peers::PEER_EXPIRY {
        return;
    }
    let is_obsolete = |row: &&store::Row| {
        if quarantine_rows::is_segment(row) {
            return quarantine_rows::load(state, row);
        }
        state.peers.borrow().is_expired(&row.key, now)
    };
    for row in rows.rows.iter().filter(is_obsolete).take(MAX_REMOVALS) {
        let (key, expected_version) = (row.key.clone(), Some(row.version));
        let writes = vec![store::Write { key, data: None, expected_version }];
        let commit =
            store::Commit { table: store::Table::Gateways, writes, preconditions: Vec::new() };
        match (store.commit)(commit).await {
            Ok(_) => tracing::info!(key = row.key, "removed an obsolete entry"),
            Err(error) => {
                let reason = error.to_string();
                tracing::info!(key = row.key, reason, "failed to remove an obsolete entry");
            }
        }
    }
}
