//! Registers this gateway in the list of gateways in the store, and keeps up with the list.

use std::collections;
use std::rc;
use std::time::Duration;

use azuregap_coordination::ids as store_ids;
use azuregap_core::ids;
use tokio::time;

use super::limit_rows;
use super::quarantine_rows;
use super::registration;
use super::transfer;
use crate::decision::membership;
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

/// Time for which an entry has been retired before it is removed. A gateway whose entry is retired
/// may not have read that for as long as its last read is valid.
const RETIREMENT: Duration = membership::LIST_VALIDITY.saturating_mul(2);

/// Maximum entries that are retired or removed after one read of the list.
const MAX_REMOVALS: usize = 10;

/// Retired entries: their versions, and when this gateway first read them.
type Retired = collections::HashMap<ids::NodeId, (store_ids::RowVersion, time::Instant)>;

/// Registers this gateway in the store and reads the list of the others.
///
/// It registers before it reads: of two gateways that start at the same time, at least one finds
/// the other and introduces itself with its first message.
pub(super) async fn maintain(state: rc::Rc<state::State>, store: rc::Rc<store::Store>) {
    let mut interval = INITIAL_LIST_INTERVAL;
    let mut reporter_since = None;
    let mut retired = Retired::new();
    let mut registered_in = None;
    let mut era = state.store_era.subscribe();
    loop {
        let result = register_and_list(&state, &store, &mut registered_in).await;
        match &result {
            Ok(rows) => {
                if registered_in == Some(rows.era) {
                    registration::save_known(&state, &store, rows).await;
                }
                remove_silent(&state, &store, rows, &mut reporter_since, &mut retired).await;
            }
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
            state.membership.borrow_mut().record_loss();
            state.quarantine.borrow_mut().forget_saved();
            state.backend_limits.borrow_mut().forget_saved();
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

/// Registers this gateway if it isn't in the list, and reads the list. `registered_in` is the era of
/// the store in which it registered.
async fn register_and_list(
    state: &state::State,
    store: &store::Store,
    registered_in: &mut Option<store_ids::Era>,
) -> Result<store::Rows, store::StoreError> {
    let table = store::Table::Gateways;
    let node = &state.settings.node;
    if !state.registered.get() {
        *registered_in = Some(registration::register(state, store).await?);
    }
    let read_at = state.clock.now();
    let rows = transfer::read(store, table).await?.rows;
    state.observe_era(rows.era);
    let own = rows.rows.iter().find(|row| row.key == *node);
    let own = own.and_then(|row| registration::Entry::decode(row).ok());
    state.registered.set(own.is_some_and(|entry| entry.is_of(state)));
    let now = state.clock.now();
    let mut others = Vec::new();
    for row in rows.rows.iter().filter(|row| row.key != *node) {
        if quarantine_rows::is_suspect(row) {
            quarantine_rows::load(state, row);
            continue;
        }
        if limit_rows::is_limit(row) {
            limit_rows::load(state, row);
            continue;
        }
        match registration::Entry::decode(row) {
            Ok(entry) => {
                state.peers.borrow_mut().add_listed(row.key.clone(), entry.address, now);
                others.push(row.key.clone());
            }
            Err(error) => {
                let reason = error.to_string();
                tracing::warn!(gateway = row.key, reason, "invalid gateway entry");
            }
        }
    }
    let mut membership = state.membership.borrow_mut();
    if state.registered.get() {
        membership.record_list(others, read_at);
    } else {
        membership.record_loss();
    }
    drop(membership);
    Ok(rows)
}

/// Retires the entries of gateways that have been silent for long, and removes those that have been
/// retired for long, those of prompt segments that are no longer quarantined, and obsolete limits.
///
/// Only gateways that may report usage receive messages from every gateway, and only some time
/// after they became one. A live gateway whose entry was retired registers again at its next read of
/// the list.
async fn remove_silent(
    state: &state::State,
    store: &store::Store,
    rows: &store::Rows,
    reporter_since: &mut Option<time::Instant>,
    retired: &mut Retired,
) {
    let now = state.clock.now();
    record_retired(rows, retired, now);
    if !state.peers.borrow().is_among_first(&state.settings.node, peers::REPORTER_COUNT, now) {
        *reporter_since = None;
        return;
    }
    let since = *reporter_since.get_or_insert(now);
    if now.saturating_duration_since(since) < peers::PEER_EXPIRY {
        return;
    }
    // New content of a row that changes, `None` if it is removed.
    let change_of = |row: &store::Row| -> Option<Option<Vec<u8>>> {
        if quarantine_rows::is_suspect(row) {
            return quarantine_rows::load(state, row).then_some(None);
        }
        if limit_rows::is_limit(row) {
            return limit_rows::load(state, row).then_some(None);
        }
        if !state.peers.borrow().is_expired(&row.key, now) {
            return None;
        }
        let Some((_, since)) = retired.get(&row.key) else {
            return registration::retire(row).map(Some);
        };
        (now.saturating_duration_since(*since) >= RETIREMENT).then_some(None)
    };
    let changes = rows.rows.iter().filter_map(|row| Some((row, change_of(row)?)));
    for (row, data) in changes.take(MAX_REMOVALS) {
        let (key, expected_version) = (row.key.clone(), Some(row.version));
        let is_removal = data.is_none();
        let writes = vec![store::Write { key, data, expected_version }];
        let commit =
            store::Commit { table: store::Table::Gateways, writes, preconditions: Vec::new() };
        match (store.commit)(commit).await {
            Ok(_) if is_removal => tracing::info!(key = row.key, "removed an obsolete entry"),
            Ok(_) => tracing::info!(key = row.key, "retired the entry of a silent gateway"),
            Err(error) => {
                let reason = error.to_string();
                tracing::info!(key = row.key, reason, "failed to remove an obsolete entry");
            }
        }
    }
}

/// Keeps up with which entries are retired.
fn record_retired(rows: &store::Rows, retired: &mut Retired, now: time::Instant) {
    let is_retired =
        |row: &&store::Row| registration::Entry::decode(row).is_ok_and(|entry| entry.is_retired);
    let current: Vec<_> = rows.rows.iter().filter(is_retired).collect();
    retired.retain(|key, (version, _)| {
        current.iter().any(|row| row.key == *key && row.version == *version)
    });
    for row in current {
        retired.entry(row.key.clone()).or_insert((row.version, now));
    }
}
