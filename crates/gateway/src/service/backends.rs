//! Keeps the directory of backend servers up to date.

use std::collections;
use std::rc;
use std::time::Duration;

use tokio::sync;
use tokio::task;
use tokio::time;

use super::watcher;
use crate::cold_servers;
use crate::directory;
use crate::state;
use crate::store;

/// After a store outage of this length, entries of live backend servers may have expired. It is two
/// of the three missed heartbeats after which the store removes an entry.
const EXPIRY_OUTAGE: Duration = Duration::from_millis(2_400);

/// Watches the entries of the backend servers; never returns.
pub async fn watch(state: rc::Rc<state::State>, store: rc::Rc<store::Store>) {
    let shared = state.clone();
    let handle_event = async move |event: watcher::Event| {
        let watcher::Event::Update(update) = event else { return };
        let now = shared.clock.now();
        if update.outage > EXPIRY_OUTAGE || update.is_from_copy {
            let outage_ms = update.outage.as_millis() as u64;
            tracing::info!(
                outage_ms,
                is_from_copy = update.is_from_copy,
                "entries may be lost; keeping backend servers without one for a grace period"
            );
            shared.directory.borrow_mut().start_grace_period(now);
            task::spawn_local(remove_expired(shared.clone()));
        }
        apply_update(&shared, &update, now);
        let known = (update.rows.version, update.requested_at);
        cold_servers::report_changes(&shared, Some(known));
        shared.backends_loaded.set(true);
        shared.capacity_changed.notify_waiters();
    };
    let never_refreshed = sync::Notify::new();
    let options = watcher::Options {
        table: store::Table::Backends,
        refresh: &never_refreshed,
        is_follower: true,
        wait: &|_| watcher::WATCH_WAIT,
        bound: state.settings.configuration_bound,
    };
    watcher::watch(state, store, options, handle_event).await;
}

/// Removes, after the grace period, backend servers that did not register again.
async fn remove_expired(state: rc::Rc<state::State>) {
    time::sleep(directory::REREGISTRATION_GRACE).await;
    for id in state.directory.borrow_mut().remove_expired(state.clock.now()) {
        tracing::info!(backend = id, "backend server with expired entry did not register again");
    }
}

fn apply_update(state: &state::State, update: &watcher::Update, now: time::Instant) {
    let mut seen = collections::HashSet::new();
    for row in &update.rows.rows {
        let change = apply_row(state, row, update.is_from_copy, now);
        seen.insert(row.key.as_str());
        if change != directory::Change::None {
            tracing::info!(backend = row.key, version = row.version, ?change, "backend server");
        }
    }
    if update.is_snapshot {
        let mut directory = state.directory.borrow_mut();
        for id in directory.ids() {
            if !seen.contains(id.as_str()) {
                let change = directory.mark_missing(&id, now);
                tracing::info!(backend = id, ?change, "backend server has no entry any more");
            }
        }
    }
}

fn apply_row(
    state: &state::State,
    row: &store::Row,
    is_from_copy: bool,
    now: time::Instant,
) -> directory::Change {
    let is_first_read = !state.backends_loaded.get();
    let mut directory = state.directory.borrow_mut();
    let Some(data) = &row.data else { return directory.mark_missing(&row.key, now) };
    match (state.codec.decode_backend)(&row.key, data) {
        Ok(backend) => {
            cold_servers::record_entry(state, &backend, is_first_read);
            if is_from_copy {
                directory.update_from_copy(backend)
            } else {
                directory.update(backend)
            }
        }
        Err(error) => {
            tracing::warn!(backend = row.key, reason = error.to_string(), "invalid backend entry");
            directory.remove(&row.key)
        }
    }
}
