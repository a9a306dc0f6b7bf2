//! The active configuration, including while the store fails.

mod support;

use std::rc;
use std::time::Duration;

use azuregap_gateway::configuration;
use azuregap_gateway::decision::homes;
use azuregap_gateway::service;
use azuregap_gateway::settings;
use azuregap_gateway::state;
use azuregap_gateway::store::Table;
use googletest::prelude::*;
use tokio::time;

async fn with_watcher<F: Future<Output = ()>>(
    test: impl FnOnce(rc::Rc<state::State>, support::FakeStore) -> F,
) {
    with_watcher_of(support::state("g-1"), test).await;
}

async fn with_watcher_of<F: Future<Output = ()>>(
    state: rc::Rc<state::State>,
    test: impl FnOnce(rc::Rc<state::State>, support::FakeStore) -> F,
) {
    let fake = support::FakeStore::default();
    fake.put(Table::Configuration, "configuration", Some("3"));
    state.backends_loaded.set(true);
    let watcher = service::watch_configuration(state.clone(), rc::Rc::new(fake.store()));
    support::run_with_service(watcher, test(state, fake)).await;
}

fn version(state: &state::State) -> u64 {
    state.configuration().map_or(0, |configuration| configuration.version)
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_new_version_is_active_within_a_second() {
    with_watcher(|state, fake| async move {
        expect_that!(version(&state), eq(3));
        for next in [9, 12, 40] {
            fake.put(Table::Configuration, "configuration", Some(&next.to_string()));
            time::sleep(Duration::from_secs(1)).await;
            expect_that!(version(&state), eq(next));
        }
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_older_version_is_never_applied() {
    with_watcher(|state, fake| async move {
        fake.put(Table::Configuration, "configuration", Some("9"));
        time::sleep(Duration::from_secs(1)).await;
        fake.put(Table::Configuration, "configuration", Some("8"));
        time::sleep(Duration::from_secs(3)).await;
        expect_that!(version(&state), eq(9));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_invalid_configuration_is_neither_applied_nor_confirmed() {
    with_watcher(|state, fake| async move {
        fake.put(Table::Configuration, "configuration", Some("garbage"));
        time::sleep(Duration::from_millis(100)).await;
        expect_that!(version(&state), eq(3));
        expect_that!(
            state.freshness.borrow().age(state.clock.now()),
            some(ge(Duration::from_millis(100)))
        );
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn keys_are_rejected_within_the_revocation_bound_when_the_store_stops_answering() {
    with_watcher(|state, fake| async move {
        fake.tables.borrow_mut().silent = true;
        let silent_since = time::Instant::now();
        while state.is_ready() {
            time::sleep(Duration::from_millis(50)).await;
        }
        expect_that!(silent_since.elapsed(), le(Duration::from_secs(5)));
        fake.tables.borrow_mut().silent = false;
        time::sleep(Duration::from_secs(3)).await;
        expect_that!(state.is_ready(), eq(true));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_store_without_changes_is_queried_rarely_and_keeps_the_gateway_ready() {
    with_watcher(|state, fake| async move {
        let before = fake.tables.borrow().calls;
        for _ in 0..200 {
            time::sleep(Duration::from_millis(100)).await;
            expect_that!(state.is_ready(), eq(true));
        }
        let queries_per_second = (fake.tables.borrow().calls - before) as f64 / 20.0;
        expect_that!(queries_per_second, le(1.0));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_requested_confirmation_makes_the_gateway_query_the_store_at_once() {
    with_watcher(|state, fake| async move {
        for _ in 0..20 {
            time::sleep(Duration::from_millis(1_130)).await;
            let confirmed = state.refresh_finished.notified();
            state.refresh_requested.notify_one();
            confirmed.await;
            let age = state.freshness.borrow().age(state.clock.now());
            expect_that!(age, some(le(Duration::from_millis(20))));
        }
        fake.tables.borrow_mut().down = true;
        time::sleep(Duration::from_secs(3)).await;
        expect_that!(state.freshness.borrow().is_store_reachable(), eq(false));
        fake.tables.borrow_mut().down = false;
        time::sleep(Duration::from_secs(1)).await;
        expect_that!(state.freshness.borrow().is_store_reachable(), eq(true));
    })
    .await;
}

/// Guards against usage that is dropped since its team has lost all keys before the reporter started.
#[gtest]
fn a_team_without_a_key_is_known_by_its_name() {
    let team = configuration::Team { name: "t".to_owned(), tier: 0, homes: homes::Regions::new() };
    let configuration = configuration::Configuration::new(1).with_team(team, []);
    expect_that!(configuration.team_names().iter().collect::<Vec<_>>(), elements_are![eq(&"t")]);
}

/// Guards against routes that are opened without a sign of it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_version_since_which_no_key_is_asked_for_is_counted() {
    with_watcher(|state, fake| async move {
        let ended = || state.metrics.key_checks_ended.get();
        state.set_configuration(configuration::Configuration::new(3).with_required_keys());
        for (next, expected) in [(9, 1), (12, 1)] {
            fake.put(Table::Configuration, "configuration", Some(&next.to_string()));
            time::sleep(Duration::from_secs(1)).await;
            expect_that!((version(&state), ended()), eq((next, expected)));
        }
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_version_without_teams_asks_for_keys_if_the_settings_do() {
    let settings = settings::Settings { requires_keys: true, ..support::settings("g-1") };
    with_watcher_of(support::state_with(settings, time::Instant::now()), |state, _| async move {
        let requires_keys =
            state.configuration().map(|configuration| configuration.requires_keys());
        expect_that!(requires_keys, some(eq(true)));
        expect_that!(state.metrics.key_checks_ended.get(), eq(0));
    })
    .await;
}
