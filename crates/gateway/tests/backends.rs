//! The directory of backend servers follows the store, also across outages of the store.

mod support;

use std::rc;
use std::time::Duration;

use azuregap_gateway::service;
use azuregap_gateway::state;
use azuregap_gateway::store::Table;
use googletest::prelude::*;
use tokio::time;

async fn backend_ids(state: &state::State) -> Vec<String> {
    let mut ids = state.directory.borrow().ids();
    ids.sort();
    ids
}

async fn with_watched_backends<F: Future<Output = ()>>(
    test: impl FnOnce(rc::Rc<state::State>, support::FakeStore) -> F,
) {
    let fake = support::FakeStore::default();
    fake.put(Table::Backends, "b-1", Some("model,1001,ready"));
    fake.put(Table::Backends, "b-2", Some("model,1002,ready"));
    let state = support::state("g-1");
    let watching = service::watch_backends(state.clone(), rc::Rc::new(fake.store()));
    support::run_with_service(watching, test(state, fake)).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn draining_backend_server_is_removed_within_a_second() {
    with_watched_backends(|state, fake| async move {
        time::sleep(Duration::from_secs(9)).await;
        fake.put(Table::Backends, "b-1", Some("model,1001,draining"));
        time::sleep(Duration::from_secs(1)).await;
        expect_that!(backend_ids(&state).await, elements_are![eq("b-2")]);
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn deleted_entry_is_removed_within_a_second_without_other_changes() {
    with_watched_backends(|state, fake| async move {
        fake.tables.borrow_mut().delay = Duration::from_millis(600);
        // Shortly before a call to the store ends without a change.
        time::sleep(Duration::from_millis(13_400)).await;
        fake.put(Table::Backends, "b-1", None);
        time::sleep(Duration::from_secs(1)).await;
        expect_that!(backend_ids(&state).await, elements_are![eq("b-2")]);
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn entry_that_expired_during_an_outage_is_kept_for_two_seconds_after_it() {
    with_watched_backends(|state, fake| async move {
        fake.tables.borrow_mut().down = true;
        time::sleep(Duration::from_secs(5)).await;
        fake.put(Table::Backends, "b-1", None);
        fake.put(Table::Backends, "b-2", None);
        fake.tables.borrow_mut().down = false;
        time::sleep(Duration::from_millis(1_000)).await;
        expect_that!(backend_ids(&state).await, elements_are![eq("b-1"), eq("b-2")]);
        fake.put(Table::Backends, "b-2", Some("model,1002,ready"));
        time::sleep(Duration::from_millis(2_000)).await;
        expect_that!(backend_ids(&state).await, elements_are![eq("b-2")]);
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn unanswered_call_to_the_store_times_out_and_is_retried() {
    with_watched_backends(|state, fake| async move {
        time::sleep(Duration::from_secs(1)).await;
        fake.tables.borrow_mut().silent = true;
        time::sleep(Duration::from_secs(1)).await;
        fake.tables.borrow_mut().silent = false;
        fake.put(Table::Backends, "b-1", Some("model,1001,draining"));
        time::sleep(Duration::from_secs(4)).await;
        expect_that!(backend_ids(&state).await, elements_are![eq("b-2")]);
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn table_is_reread_after_the_change_history_was_compacted() {
    with_watched_backends(|state, fake| async move {
        time::sleep(Duration::from_secs(1)).await;
        fake.put(Table::Backends, "b-1", None);
        fake.put(Table::Backends, "b-3", Some("model,1003,ready"));
        let newest = 4;
        fake.tables.borrow_mut().compacted = newest;
        time::sleep(Duration::from_secs(4)).await;
        expect_that!(backend_ids(&state).await, elements_are![eq("b-2"), eq("b-3")]);
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn malformed_entry_is_ignored_without_affecting_others() {
    with_watched_backends(|state, fake| async move {
        fake.put(Table::Backends, "b-1", Some("\u{0}\u{1}"));
        fake.put(Table::Backends, "b-9", Some("model,no port,ready"));
        time::sleep(Duration::from_secs(1)).await;
        expect_that!(backend_ids(&state).await, elements_are![eq("b-2")]);
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn during_an_outage_the_configuration_is_asked_for_and_the_backend_servers_wait() {
    with_watched_backends(|state, fake| async move {
        time::sleep(Duration::from_secs(5)).await;
        state.freshness.borrow_mut().record_failure();
        fake.tables.borrow_mut().down = true;
        fake.tables.borrow_mut().calls = 0;
        time::sleep(Duration::from_secs(10)).await;
        // One call each two seconds, in case only the other table is unavailable, and two before
        // the outage was noticed.
        expect_that!(fake.tables.borrow().calls, le(7));
        fake.put(Table::Backends, "b-3", Some("model,1003,ready"));
        fake.tables.borrow_mut().down = false;
        time::sleep(Duration::from_millis(2_700)).await;
        expect_that!(backend_ids(&state).await, contains(eq("b-3")));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn backend_servers_are_asked_for_as_soon_as_the_store_answers_again() {
    with_watched_backends(|state, fake| async move {
        time::sleep(Duration::from_secs(5)).await;
        state.freshness.borrow_mut().record_failure();
        fake.tables.borrow_mut().down = true;
        time::sleep(Duration::from_millis(3_500)).await;
        fake.put(Table::Backends, "b-3", Some("model,1003,ready"));
        fake.tables.borrow_mut().down = false;
        time::sleep(Duration::from_millis(100)).await;
        state.freshness.borrow_mut().record_confirmation(time::Instant::now());
        state.refresh_finished.notify_waiters();
        time::sleep(Duration::from_millis(50)).await;
        expect_that!(backend_ids(&state).await, contains(eq("b-3")));
    })
    .await;
}
