//! Keeps the configuration up to date.

use std::rc;

use tokio::task;

use super::watcher;
use super::zone_rows;
use crate::codec;
use crate::configuration;
use crate::state;
use crate::store;

/// Length of a configuration from which on it is decoded on another thread.
const LARGE_BYTES: usize = 64 << 10;

/// Watches the operator's configuration; never returns.
pub async fn watch(state: rc::Rc<state::State>, store: rc::Rc<store::Store>) {
    let shared = state.clone();
    let handle_event = async move |event: watcher::Event| {
        let watcher::Event::Update(update) = event else {
            shared.freshness.borrow_mut().record_failure();
            shared.refresh_finished.notify_waiters();
            return;
        };
        zone_rows::apply(&shared, &update);
        let mut is_valid = true;
        for row in &update.rows.rows {
            if row.key == shared.codec.configuration_key {
                is_valid &= apply(&shared, row).await;
            }
        }
        if is_valid && shared.configuration.borrow().is_some() {
            shared.freshness.borrow_mut().record_confirmation(update.requested_at);
        }
        shared.refresh_finished.notify_waiters();
    };
    let notifier = state.clone();
    let bounds = state.clone();
    // All of a large configuration arrives before keys can't be trusted any more.
    let wait = |transfer| bounds.freshness.borrow().watch_wait(watcher::WATCH_WAIT, transfer);
    let options = watcher::Options {
        table: store::Table::Configuration,
        refresh: &notifier.refresh_requested,
        is_follower: false,
        wait: &wait,
        bound: state.settings.configuration_bound,
    };
    watcher::watch(state, store, options, handle_event).await;
}

/// Applies a version of the configuration; returns false if it can't be decoded.
///
/// A version older than the active one is ignored.
async fn apply(state: &state::State, row: &store::Row) -> bool {
    let Some(data) = &row.data else {
        tracing::warn!("the configuration was deleted; the last version stays active");
        return true;
    };
    let configuration = match decode(state, data).await {
        Ok(configuration) => configuration,
        Err(error) => {
            tracing::error!(reason = error.to_string(), "failed to decode the configuration");
            return false;
        }
    };
    let before = state.configuration();
    let old = before.as_ref().map(|configuration| configuration.version);
    if old.is_some_and(|old| configuration.version < old) {
        tracing::warn!(old, version = configuration.version, "ignored an older configuration");
        return true;
    }
    tracing::info!(
        old,
        version = configuration.version,
        routes = configuration.route_count(),
        "configuration in force"
    );
    state.remember_teams(configuration.team_names());
    if !configuration.requires_keys() {
        report_missing_teams(state, before.as_deref());
    }
    state.set_configuration(configuration);
    true
}

/// Tells operators what follows from a configuration without a list of teams.
fn report_missing_teams(state: &state::State, before: Option<&configuration::Configuration>) {
    if state.settings.requires_keys {
        tracing::warn!("the configuration has no list of teams; nobody has a key");
    } else if before.is_some_and(configuration::Configuration::requires_keys) {
        state.metrics.key_checks_ended.inc();
        tracing::warn!("the configuration has no list of teams; keys aren't asked for any more");
    } else {
        tracing::info!("the configuration has no list of teams; no keys are asked for");
    }
}

/// Decodes a configuration; a large one on another thread, so that requests don't wait for it.
async fn decode(
    state: &state::State,
    data: &[u8],
) -> Result<configuration::Configuration, codec::CodecError> {
    let decode = state.codec.decode_configuration;
    if data.len() < LARGE_BYTES {
        return decode(data);
    }
    let data = data.to_vec();
    let decoded = task::spawn_blocking(move || decode(&data)).await;
    decoded.unwrap_or_else(|error| Err(codec::CodecError::Document(error.to_string())))
}
