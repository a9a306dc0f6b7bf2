//! Responses of the store that take long to arrive.

mod support;

use std::rc;
use std::time::Duration;

use azuregap_gateway::decision::freshness;
use azuregap_gateway::decision::transfer;
use azuregap_gateway::service;
use azuregap_gateway::state;
use azuregap_gateway::store::Table;
use googletest::prelude::*;
use tokio::time;

/// Bytes a second of a link of 10 Mbit/s.
const SMALL_LINK: f64 = 1_250_000.0;

fn version(state: &state::State) -> Option<u64> {
    state.configuration().map(|configuration| configuration.version)
}

fn may_trust_keys(state: &state::State) -> bool {
    state.freshness.borrow().may_trust_keys(state.clock.now())
}

/// Watches a configuration whose responses are `bytes` long, over a small link.
async fn with_configuration<F: Future<Output = ()>>(
    bytes: u64,
    test: impl FnOnce(rc::Rc<state::State>, support::FakeStore) -> F,
) {
    let fake = support::FakeStore::default();
    fake.put(Table::Configuration, "configuration", Some("1"));
    {
        let mut tables = fake.tables.borrow_mut();
        (tables.response_bytes, tables.link_rate) = (bytes, SMALL_LINK);
    }
    let state = support::state("g-1");
    let watching = service::watch_configuration(state.clone(), rc::Rc::new(fake.store()));
    support::run_with_service(watching, test(state, fake)).await;
}

/// Waits until a version is in force; returns how long that took, if it was less than a minute.
async fn wait_for_version(state: &state::State, wanted: u64) -> Option<Duration> {
    let started = time::Instant::now();
    while version(state) != Some(wanted) {
        time::sleep(Duration::from_millis(10)).await;
        if started.elapsed() > Duration::from_secs(60) {
            return None;
        }
    }
    Some(started.elapsed())
}

/// A configuration that took longer than a fixed time was given up and begun again for ever.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_configuration_of_any_size_arrives_over_a_small_link() {
    for (bytes, seconds) in [(0, 0), (1_250_000, 1), (3_750_000, 3), (12_500_000, 10)] {
        with_configuration(bytes, |state, fake| async move {
            let transfer = Duration::from_secs(seconds);
            let slack = Duration::from_millis(700);
            expect_that!(wait_for_version(&state, 1).await, some(le(transfer + slack)));
            time::sleep(Duration::from_secs(7)).await;
            fake.put(Table::Configuration, "configuration", Some("2"));
            expect_that!(wait_for_version(&state, 2).await, some(le(transfer + slack)));
        })
        .await;
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn keys_stay_valid_while_a_configuration_arrives_that_the_link_can_bring_in_time() {
    with_configuration(3_750_000, |state, fake| async move {
        wait_for_version(&state, 1).await;
        // The second change finds a gateway that knows how long a change takes.
        for wanted in 2..6 {
            time::sleep(Duration::from_millis(5_300)).await;
            fake.put(Table::Configuration, "configuration", Some(&wanted.to_string()));
            while version(&state) != Some(wanted) {
                expect_that!(may_trust_keys(&state), is_true(), "before version {wanted}");
                time::sleep(Duration::from_millis(50)).await;
            }
            expect_that!(may_trust_keys(&state), is_true(), "with version {wanted}");
        }
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_key_is_no_younger_for_a_long_transfer() {
    with_configuration(0, |state, fake| async move {
        wait_for_version(&state, 1).await;
        time::sleep(Duration::from_secs(3)).await;
        fake.tables.borrow_mut().response_bytes = 12_500_000;
        fake.put(Table::Configuration, "configuration", Some("2"));
        // Until the response is there, nothing tells that a key wasn't withdrawn after it began.
        time::sleep(Duration::from_secs(5)).await;
        expect_that!(version(&state), some(eq(1)));
        expect_that!(may_trust_keys(&state), is_false());
    })
    .await;
}

/// A request whose key couldn't be trusted any more let the transfer begin again.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_refresh_does_not_begin_a_transfer_again() {
    with_configuration(3_750_000, |state, fake| async move {
        wait_for_version(&state, 1).await;
        fake.put(Table::Configuration, "configuration", Some("2"));
        let refreshing = state.clone();
        tokio::task::spawn_local(async move {
            loop {
                time::sleep(Duration::from_secs(2)).await;
                refreshing.refresh_requested.notify_one();
            }
        });
        expect_that!(wait_for_version(&state, 2).await, some(le(Duration::from_millis(3_700))));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_newest_of_several_versions_is_in_force_in_time() {
    with_configuration(2_000_000, |state, fake| async move {
        wait_for_version(&state, 1).await;
        time::sleep(Duration::from_secs(3)).await;
        for wanted in 2..6 {
            fake.put(Table::Configuration, "configuration", Some(&wanted.to_string()));
            time::sleep(Duration::from_millis(400)).await;
        }
        expect_that!(wait_for_version(&state, 5).await, some(le(Duration::from_millis(1_600))));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn versions_without_end_do_not_keep_each_other_from_being_in_force() {
    with_configuration(2_000_000, |state, fake| async move {
        wait_for_version(&state, 1).await;
        let bound = state.settings.configuration_bound;
        let (mut previous, mut changed_at) = (version(&state), time::Instant::now());
        for wanted in 2..60 {
            fake.put(Table::Configuration, "configuration", Some(&wanted.to_string()));
            time::sleep(Duration::from_millis(400)).await;
            if version(&state) != previous {
                (previous, changed_at) = (version(&state), time::Instant::now());
            }
            // Twice the bound, and the wait for the first change.
            expect_that!(changed_at.elapsed(), lt(bound * 3), "version {wanted}");
        }
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_response_that_stops_or_trickles_is_given_up() {
    for rate in [0.0, 1_000.0] {
        with_configuration(3_750_000, |state, fake| async move {
            wait_for_version(&state, 1).await;
            fake.put(Table::Configuration, "configuration", Some("2"));
            time::sleep(Duration::from_millis(1_500)).await;
            fake.tables.borrow_mut().link_rate = rate;
            time::sleep(Duration::from_secs(130)).await;
            expect_that!(version(&state), some(eq(1)), "{rate}");
            expect_that!(state.freshness.borrow().is_store_answering(), is_false(), "{rate}");
            fake.tables.borrow_mut().link_rate = SMALL_LINK;
            expect_that!(wait_for_version(&state, 2).await, some(le(Duration::from_secs(5))));
        })
        .await;
    }
}

#[gtest]
fn a_response_stalls_if_nothing_arrives_or_too_little() {
    let start = time::Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut transfer = transfer::Transfer::new(start, Duration::from_secs(2));
    expect_that!(transfer.stalls_at(), eq(at(2_000)), "without a head");
    transfer.record_head(Some(1 << 20), at(1_000));
    expect_that!(transfer.stalls_at(), eq(at(1_700)), "after the head");
    transfer.record_bytes(1 << 10, at(1_500));
    expect_that!(transfer.stalls_at(), lt(at(1_800)), "with little");
    transfer.record_bytes(1 << 17, at(1_600));
    expect_that!(transfer.stalls_at(), eq(at(2_300)), "with much");
}

#[gtest]
fn the_store_waits_less_for_a_change_that_takes_long_to_arrive() {
    let (longest, bound) = (Duration::from_secs(2), Duration::from_secs(5));
    for (transfer_ms, wait_ms) in [(0, 2_000), (500, 2_000), (2_500, 1_000), (6_000, 0)] {
        let freshness = freshness::Freshness::new(bound);
        let wait = freshness.watch_wait(longest, Duration::from_millis(transfer_ms));
        expect_that!(wait, eq(Duration::from_millis(wait_ms)), "{transfer_ms} ms");
    }
}
