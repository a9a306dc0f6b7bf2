//! Keeps the configuration up to date.

use std::rc;

use super::follow;
use crate::decision::usage_counts;
use crate::state;
use crate::store;

/// Follows the operator's configuration for ever.
pub async fn follow(state: rc::Rc<state::State>, store: rc::Rc<store::Store>) {
    let shared = state.clone();
    let take = move |event: follow::Event| {
        let follow::Event::News(news) = event else {
            shared.freshness.borrow_mut().record_failure();
            shared.confirmed.notify_waiters();
            return;
        };
        let mut sound = true;
        for row in &news.rows.rows {
            if row.key == shared.codec.configuration_key {
                sound &= apply(&shared, row);
            }
        }
        if sound && shared.configuration.borrow().is_some() {
            shared.freshness.borrow_mut().record_confirmation(news.asked);
        }
        shared.confirmed.notify_waiters();
    };
    let doubting = state.clone();
    follow::follow(state, store, store::Table::Configuration, &doubting.doubted, take).await;
}

/// Takes a version of the configuration; false if it can't be read. An older version than the one
/// in force is never taken.
fn apply(state: &state::State, row: &store::Row) -> bool {
    let Some(data) = &row.data else {
        tracing::warn!("the configuration was removed; the last one stays in force");
        return true;
    };
    let configuration = match (state.codec.configuration)(data) {
        Ok(configuration) => configuration,
        Err(error) => {
            tracing::error!(reason = error.to_string(), "the configuration can't be read");
            return false;
        }
    };
    let old = state.configuration().map(|configuration| configuration.version);
    if old.is_some_and(|old| configuration.version < old) {
        tracing::warn!(old, version = configuration.version, "an older configuration is ignored");
        return true;
    }
    tracing::info!(
        old,
        version = configuration.version,
        routes = configuration.route_count(),
        "configuration in force"
    );
    let mut teams = state.teams.borrow_mut();
    for team in configuration.team_names() {
        teams.insert(usage_counts::team_hash(team), team.to_owned());
    }
    *state.configuration.borrow_mut() = Some(rc::Rc::new(configuration));
    true
}
