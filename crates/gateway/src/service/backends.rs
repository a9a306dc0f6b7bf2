//! Keeps the list of backend servers up to date.

use std::collections;
use std::rc;
use std::time::Duration;

use tokio::sync;
use tokio::task;
use tokio::time;

use super::follow;
use crate::directory;
use crate::state;
use crate::store;

/// A silence of the store for this long may have let entries of living backend servers lapse.
/// Source: two of the three missed heartbeats after which an entry is removed.
const OUTAGE: Duration = Duration::from_millis(2_400);

/// Follows the entries of the backend servers for ever.
pub async fn follow(state: rc::Rc<state::State>, store: rc::Rc<store::Store>) {
    let shared = state.clone();
    let take = move |event: follow::Event| {
        let follow::Event::News(news) = event else { return };
        let now = shared.clock.now();
        if news.outage > OUTAGE {
            let outage_ms = news.outage.as_millis() as u64;
            tracing::info!(outage_ms, "backend servers whose entries lapsed are kept for a while");
            shared.directory.borrow_mut().start_grace_period(now);
            task::spawn_local(expire(shared.clone()));
        }
        take_rows(&shared, &news, now);
        shared.listed.set(true);
        shared.changed.notify_waiters();
    };
    let nobody_doubts = sync::Notify::new();
    follow::follow(state, store, store::Table::Backends, &nobody_doubts, take).await;
}

/// Removes, after the grace, backend servers that did not come back.
async fn expire(state: rc::Rc<state::State>) {
    time::sleep(directory::REREGISTRATION_GRACE).await;
    for id in state.directory.borrow_mut().remove_expired(state.clock.now()) {
        tracing::info!(backend = id, "a lapsed backend server did not come back");
    }
}

fn take_rows(state: &state::State, news: &follow::News, now: time::Instant) {
    let mut seen = collections::HashSet::new();
    for row in &news.rows.rows {
        let change = take_row(state, row, now);
        seen.insert(row.key.as_str());
        if change != directory::Change::None {
            tracing::info!(backend = row.key, version = row.version, ?change, "backend server");
        }
    }
    if news.whole {
        let mut directory = state.directory.borrow_mut();
        for id in directory.ids() {
            if !seen.contains(id.as_str()) {
                let change = directory.mark_missing(&id, now);
                tracing::info!(backend = id, ?change, "a backend server is no longer listed");
            }
        }
    }
}

fn take_row(state: &state::State, row: &store::Row, now: time::Instant) -> directory::Change {
    let mut directory = state.directory.borrow_mut();
    let Some(data) = &row.data else { return directory.mark_missing(&row.key, now) };
    match (state.codec.backend)(&row.key, data) {
        Ok(backend) => directory.update(backend),
        Err(error) => {
            tracing::warn!(backend = row.key, reason = error.to_string(), "an entry is not usable");
            directory.remove(&row.key)
        }
    }
}
