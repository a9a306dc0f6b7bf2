//! Usage reports by the lease holder, with gateways and stores that fail at any step.

mod support;

use std::cell;
use std::collections;
use std::rc;
use std::time::Duration;

use azuregap_gateway::codec;
use azuregap_gateway::configuration;
use azuregap_gateway::peers;
use azuregap_gateway::service;
use azuregap_gateway::state;
use azuregap_gateway::store::Table;
use futures::FutureExt as _;
use googletest::prelude::*;
use tokio::task;
use tokio::time;

/// Window, fencing token and body of each report that the platform received.
type Received = rc::Rc<cell::RefCell<Vec<(u64, u64, Vec<u8>)>>>;

/// A reporter that records each report and returns what `result` says.
fn recording_reporter(
    received: &Received,
    result: impl Fn(&codec::UsageReport) -> std::result::Result<(), service::ReportError> + 'static,
) -> service::UsageReporter {
    let received = received.clone();
    let send = move |report: codec::UsageReport| {
        let result = result(&report);
        received.borrow_mut().push((report.window, report.fence, report.body));
        async move { result }.boxed_local()
    };
    service::UsageReporter { send: Box::new(send) }
}

fn count(state: &state::State, team: &str, requests: u32) {
    for _ in 0..requests {
        state.count_usage(team, Duration::ZERO);
    }
}

fn first_window() -> u64 {
    support::START_TIME.as_secs() / 5
}

async fn run_local<F: Future<Output = ()>>(test: F) {
    task::LocalSet::new().run_until(test).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn each_window_is_reported_exactly_once_in_time() {
    run_local(async {
        let fake = support::FakeStore::default();
        let received = Received::default();
        let state = support::state("g-1");
        let report = recording_reporter(&received, |_| Ok(()));
        task::spawn_local(service::run_usage_reporting(
            state.clone(),
            rc::Rc::new(fake.store()),
            report,
            1,
        ));
        for _ in 0..6 {
            count(&state, "t", 10);
            time::sleep(Duration::from_secs(5)).await;
        }
        let windows: Vec<_> = received.borrow().iter().map(|(window, ..)| *window).collect();
        let mut distinct = windows.clone();
        distinct.dedup();
        expect_that!(windows, eq(&distinct));
        expect_that!(windows, contains(eq(&first_window())));
        expect_that!(windows, contains(eq(&(first_window() + 3))));
        let body = received.borrow().iter().find(|t| t.0 == first_window()).map(|t| t.2.clone());
        let body = String::from_utf8(body.unwrap_or_default()).expect("text");
        expect_that!(body, contains_substring("[(\"t\", 10)]"));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn unacknowledged_report_is_resent_unchanged() {
    run_local(async {
        let fake = support::FakeStore::default();
        let received = Received::default();
        let state = support::state("g-1");
        let attempts = cell::Cell::new(0);
        let report = recording_reporter(&received, move |_| {
            attempts.set(attempts.get() + 1);
            if attempts.get() % 3 == 0 {
                Ok(())
            } else {
                Err(service::ReportError::Unacknowledged("lost".to_owned()))
            }
        });
        task::spawn_local(service::run_usage_reporting(
            state.clone(),
            rc::Rc::new(fake.store()),
            report,
            1,
        ));
        for _ in 0..100 {
            // Later counts must not change a stored report.
            count(&state, "t", 1);
            time::sleep(Duration::from_millis(200)).await;
        }
        assert_same_bytes(&received);
        expect_that!(received.borrow().len(), ge(3));
    })
    .await;
}

fn assert_same_bytes(received: &Received) {
    let mut bodies = collections::BTreeMap::new();
    for (window, _, body) in received.borrow().iter() {
        let first = bodies.entry(*window).or_insert_with(|| body.clone());
        expect_that!(body, eq(first), "window {window}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn next_lease_holder_resends_stored_report_with_higher_fencing_token() {
    run_local(async {
        let fake = support::FakeStore::default();
        let received = Received::default();
        let lost = |_: &_| Err(service::ReportError::Unacknowledged("lost".to_owned()));
        let first = support::state("g-1");
        let running = task::spawn_local(service::run_usage_reporting(
            first.clone(),
            rc::Rc::new(fake.store()),
            recording_reporter(&received, lost),
            1,
        ));
        count(&first, "t", 7);
        while received.borrow().is_empty() {
            time::sleep(Duration::from_millis(100)).await;
        }
        running.abort();
        let old = received.borrow().clone();
        let second = support::state("g-2");
        // Other counts of the same window must not be reported.
        count(&second, "t", 90);
        let report = recording_reporter(&received, |_| Ok(()));
        task::spawn_local(service::run_usage_reporting(
            second,
            rc::Rc::new(fake.store()),
            report,
            2,
        ));
        time::sleep(Duration::from_secs(4)).await;
        let resent: Vec<_> = received.borrow().iter().skip(old.len()).cloned().collect();
        for (window, fence, body) in resent {
            for (other, old_fence, stored) in &old {
                if *other == window {
                    expect_that!(&body, eq(stored));
                }
                expect_that!(fence, gt(*old_fence));
            }
        }
        assert_same_bytes(&received);
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn gateways_never_send_different_reports_for_a_window() {
    run_local(async {
        let fake = support::FakeStore::default();
        let received = Received::default();
        for (node, incarnation) in [("g-1", 1), ("g-2", 2), ("g-3", 3)] {
            let state = support::state(node);
            count(&state, "t", incarnation as u32);
            let report = recording_reporter(&received, |_| Ok(()));
            let store = rc::Rc::new(fake.store());
            task::spawn_local(service::run_usage_reporting(state, store, report, incarnation));
        }
        for step in 0..40_u32 {
            // The store is unavailable at times, and drops responses at others.
            fake.tables.borrow_mut().down = step % 7 == 3;
            fake.tables.borrow_mut().drops_responses = step % 5 == 4;
            time::sleep(Duration::from_millis(700)).await;
        }
        assert_same_bytes(&received);
        expect_that!(received.borrow().len(), ge(3));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn gateway_stops_reporting_after_its_fencing_token_is_rejected() {
    run_local(async {
        let fake = support::FakeStore::default();
        let received = Received::default();
        let state = support::state("g-1");
        let report = recording_reporter(&received, |_| Err(service::ReportError::Fenced));
        task::spawn_local(service::run_usage_reporting(
            state,
            rc::Rc::new(fake.store()),
            report,
            1,
        ));
        time::sleep(Duration::from_secs(40)).await;
        expect_that!(received.borrow().len(), eq(1));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn counts_received_from_a_dead_gateway_are_reported() {
    run_local(async {
        let fake = support::FakeStore::default();
        let received = Received::default();
        let state = support::state("g-1");
        let team = azuregap_gateway::decision::usage_counts::team_hash("t");
        let message = peers::GossipMessage {
            node: "g-dead".to_owned(),
            incarnation: 5,
            wall_time: support::START_TIME,
            cached: Vec::new(),
            news: peers::News::default(),
            limits: Vec::new(),
            is_introduction: false,
            suspects: None,
            teams: Vec::new(),
            loads: Vec::new(),
            counts: vec![peers::UsageCount { window: first_window(), team, requests: 30 }],
            notice: None,
        };
        let from = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
        state.peers.borrow_mut().handle_message(message, from, state.clock.now());
        count(&state, "t", 4);
        let report = recording_reporter(&received, |_| Ok(()));
        task::spawn_local(service::run_usage_reporting(
            state,
            rc::Rc::new(fake.store()),
            report,
            1,
        ));
        time::sleep(Duration::from_secs(9)).await;
        let body = received.borrow().iter().find(|t| t.0 == first_window()).map(|t| t.2.clone());
        let body = String::from_utf8(body.unwrap_or_default()).expect("text");
        expect_that!(body, contains_substring("(\"t\", 34)"));
        expect_that!(
            fake.get(Table::Usage, &format!("usage-report-{}", first_window())),
            some(eq(&body))
        );
    })
    .await;
}

/// Guards against usage that is dropped since the reporter has started after its team was removed.
#[gtest]
#[tokio::test(start_paused = true)]
async fn usage_of_a_removed_team_is_reported_once_by_a_gateway_that_never_knew_it() {
    run_local(async {
        let fake = support::FakeStore::default();
        let received = Received::default();
        let state = support::state("g-1");
        state.set_configuration(configuration::Configuration::new(2).with_required_keys());
        let team = azuregap_gateway::decision::usage_counts::team_hash("removed");
        let mut message = support::messages::empty("g-2");
        message.wall_time = support::START_TIME;
        message.counts = vec![peers::UsageCount { window: first_window(), team, requests: 30 }];
        message.teams = vec!["removed".to_owned()];
        state.remember_teams(&message.teams);
        let from = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
        state.peers.borrow_mut().handle_message(message, from, state.clock.now());
        let report = recording_reporter(&received, |_| Ok(()));
        let store = rc::Rc::new(fake.store());
        task::spawn_local(service::run_usage_reporting(state, store, report, 1));
        time::sleep(Duration::from_secs(20)).await;
        let bodies: Vec<_> = received.borrow().iter().map(|report| report.2.clone()).collect();
        let named = bodies.iter().filter(|body| String::from_utf8_lossy(body).contains("removed"));
        let named: Vec<_> = named.map(|body| String::from_utf8_lossy(body)).collect();
        expect_that!(named, elements_are![contains_substring("(\"removed\", 30)")]);
    })
    .await;
}

fn fence_in_store(fake: &support::FakeStore) -> Option<String> {
    fake.get(Table::Usage, "usage-lease")
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn stopping_gateway_releases_the_lease_and_takes_it_no_more() {
    run_local(async {
        let fake = support::FakeStore::default();
        let received = Received::default();
        let start = |node: &str, incarnation| {
            let state = support::state(node);
            let report = recording_reporter(&received, |_| Ok(()));
            let store = rc::Rc::new(fake.store());
            task::spawn_local(service::run_usage_reporting(
                state.clone(),
                store,
                report,
                incarnation,
            ));
            state
        };
        let first = start("g-1", 1);
        time::sleep(Duration::from_secs(6)).await;
        expect_that!(fence_in_store(&fake), some(contains_substring("g-1")));
        let second = start("g-2", 2);
        time::sleep(Duration::from_secs(2)).await;
        // Twice the send deadline is enough for a release; an expired lease takes four seconds.
        first.stopping.send_replace(true);
        time::sleep(Duration::from_secs(2)).await;
        expect_that!(fence_in_store(&fake), some(contains_substring("g-2")));
        expect_that!(*first.reporting.borrow(), none());
        second.stopping.send_replace(true);
        time::sleep(Duration::from_secs(20)).await;
        let holders =
            ["g-1", "g-2"].map(|node| fence_in_store(&fake).unwrap_or_default().contains(node));
        expect_that!(holders, eq([false, false]));
    })
    .await;
}
