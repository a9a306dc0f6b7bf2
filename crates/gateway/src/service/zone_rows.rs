//! Availability zones that the operator withdraws, by rows beside the configuration.

use std::collections;

use tokio::time;

use super::watcher;
use crate::cold_servers;
use crate::state;

/// Applies the rows of an update that withdraw availability zones or take them back.
///
/// A copy of the store may lack a row that was written after it was made. What it has is added to the
/// known zones; the next complete read that isn't from a copy replaces them.
pub(super) fn apply(state: &state::State, update: &watcher::Update) {
    let mut listed = collections::BTreeSet::new();
    for row in &update.rows.rows {
        let zone = match (state.codec.decode_withdrawal)(&row.key) {
            Ok(Some(zone)) => zone,
            Ok(None) => continue,
            Err(error) => {
                let reason = error.to_string();
                tracing::warn!(key = row.key, reason, "ignored a row that withdraws no zone");
                continue;
            }
        };
        if row.data.is_some() {
            withdraw(state, &zone, row.version, update.requested_at);
            listed.insert(zone);
        } else {
            take_back(state, &zone, row.version, update.requested_at);
        }
    }
    if update.is_snapshot && !update.is_from_copy {
        let known = state.withdrawn_zones.borrow().clone();
        for zone in known.iter().filter(|zone| !listed.contains(*zone)) {
            take_back(state, zone, update.rows.version, update.requested_at);
        }
    }
}

fn withdraw(state: &state::State, zone: &str, version: u64, known_at: time::Instant) {
    if !state.withdrawn_zones.borrow_mut().withdraw(zone) {
        return;
    }
    let directory = state.directory.borrow();
    let backends = directory.all().filter(|server| server.backend.zone == zone).count();
    let is_known = backends > 0 || state.settings.regions.contains_key(zone);
    let age_ms = age_ms(state, known_at);
    tracing::info!(zone, version, age_ms, backends, is_known, "availability zone withdrawn");
    report(state);
}

fn take_back(state: &state::State, zone: &str, version: u64, known_at: time::Instant) {
    if !state.withdrawn_zones.borrow_mut().take_back(zone) {
        return;
    }
    let age_ms = age_ms(state, known_at);
    tracing::info!(zone, version, age_ms, "availability zone taken back");
    cold_servers::record_return(state, zone);
    cold_servers::report_changes(state, Some((version, known_at)));
    report(state);
}

/// Wakes the requests that wait for a backend server, and updates the metrics.
fn report(state: &state::State) {
    let count = state.withdrawn_zones.borrow().iter().count();
    state.metrics.withdrawn_zones.set(count as i64);
    state.capacity_changed.notify_waiters();
}

fn age_ms(state: &state::State, known_at: time::Instant) -> u64 {
    state.clock.now().saturating_duration_since(known_at).as_millis() as u64
}
