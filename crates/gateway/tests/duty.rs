//! Usage reports by the gateway in charge, with processes that stop between any two steps.

mod support;

use std::cell;
use std::collections;
use std::rc;
use std::time::Duration;

use azuregap_gateway::codec;
use azuregap_gateway::peers;
use azuregap_gateway::service;
use azuregap_gateway::state;
use azuregap_gateway::store::Table;
use futures::FutureExt as _;
use googletest::prelude::*;
use tokio::task;
use tokio::time;

/// What the platform took: fencing number and bytes of each report.
type Taken = rc::Rc<cell::RefCell<Vec<(u64, u64, Vec<u8>)>>>;

/// The intake of reports; `answer` decides what is told about each.
fn intake(
    taken: &Taken,
    answer: impl Fn(&codec::UsageReport) -> std::result::Result<(), service::ReportError> + 'static,
) -> service::Report {
    let taken = taken.clone();
    let send = move |report: codec::UsageReport| {
        let result = answer(&report);
        taken.borrow_mut().push((report.window, report.fence, report.body));
        async move { result }.boxed_local()
    };
    service::Report { send: Box::new(send) }
}

fn count(state: &state::State, team: &str, requests: u32) {
    for _ in 0..requests {
        state.count_usage(team, Duration::ZERO);
    }
}

fn first_window() -> u64 {
    support::WALL.as_secs() / 5
}

async fn on_local<F: Future<Output = ()>>(test: F) {
    task::LocalSet::new().run_until(test).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn each_window_is_reported_once_and_in_time() {
    on_local(async {
        let fake = support::Fake::default();
        let taken = Taken::default();
        let state = support::state("g-1");
        let report = intake(&taken, |_| Ok(()));
        task::spawn_local(service::run_duty(state.clone(), rc::Rc::new(fake.store()), report, 1));
        for _ in 0..6 {
            count(&state, "t", 10);
            time::sleep(Duration::from_secs(5)).await;
        }
        let windows: Vec<_> = taken.borrow().iter().map(|(window, ..)| *window).collect();
        let mut once = windows.clone();
        once.dedup();
        expect_that!(windows, eq(&once));
        expect_that!(windows, contains(eq(&first_window())));
        expect_that!(windows, contains(eq(&(first_window() + 3))));
        let body = taken.borrow().iter().find(|t| t.0 == first_window()).map(|t| t.2.clone());
        let body = String::from_utf8(body.unwrap_or_default()).expect("text");
        expect_that!(body, contains_substring("[(\"t\", 10)]"));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_report_that_was_not_acknowledged_is_sent_again_byte_for_byte() {
    on_local(async {
        let fake = support::Fake::default();
        let taken = Taken::default();
        let state = support::state("g-1");
        let tries = cell::Cell::new(0);
        let report = intake(&taken, move |_| {
            tries.set(tries.get() + 1);
            if tries.get() % 3 == 0 {
                Ok(())
            } else {
                Err(service::ReportError::Failed("lost".to_owned()))
            }
        });
        task::spawn_local(service::run_duty(state.clone(), rc::Rc::new(fake.store()), report, 1));
        for _ in 0..100 {
            // Counts that go on must not change what was frozen.
            count(&state, "t", 1);
            time::sleep(Duration::from_millis(200)).await;
        }
        assert_same_bytes(&taken);
        expect_that!(taken.borrow().len(), ge(3));
    })
    .await;
}

fn assert_same_bytes(taken: &Taken) {
    let mut bodies = collections::BTreeMap::new();
    for (window, _, body) in taken.borrow().iter() {
        let first = bodies.entry(*window).or_insert_with(|| body.clone());
        expect_that!(body, eq(first), "window {window}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_successor_sends_what_was_frozen_under_a_higher_number() {
    on_local(async {
        let fake = support::Fake::default();
        let taken = Taken::default();
        let lost = |_: &_| Err(service::ReportError::Failed("lost".to_owned()));
        let first = support::state("g-1");
        let running = task::spawn_local(service::run_duty(
            first.clone(),
            rc::Rc::new(fake.store()),
            intake(&taken, lost),
            1,
        ));
        count(&first, "t", 7);
        while taken.borrow().is_empty() {
            time::sleep(Duration::from_millis(100)).await;
        }
        running.abort();
        let old = taken.borrow().clone();
        let second = support::state("g-2");
        // Another count of the same window must not be told.
        count(&second, "t", 90);
        let report = intake(&taken, |_| Ok(()));
        task::spawn_local(service::run_duty(second, rc::Rc::new(fake.store()), report, 2));
        time::sleep(Duration::from_secs(4)).await;
        let again: Vec<_> = taken.borrow().iter().skip(old.len()).cloned().collect();
        for (window, fence, body) in again {
            for (other, lower, frozen) in &old {
                if *other == window {
                    expect_that!(&body, eq(frozen));
                }
                expect_that!(fence, gt(*lower));
            }
        }
        assert_same_bytes(&taken);
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn two_gateways_never_report_the_same_window_differently() {
    on_local(async {
        let fake = support::Fake::default();
        let taken = Taken::default();
        for (node, incarnation) in [("g-1", 1), ("g-2", 2), ("g-3", 3)] {
            let state = support::state(node);
            count(&state, "t", incarnation as u32);
            let report = intake(&taken, |_| Ok(()));
            let store = rc::Rc::new(fake.store());
            task::spawn_local(service::run_duty(state, store, report, incarnation));
        }
        for step in 0..40_u32 {
            // The store comes and goes, and loses answers.
            fake.tables.borrow_mut().down = step % 7 == 3;
            fake.tables.borrow_mut().loses_answers = step % 5 == 4;
            time::sleep(Duration::from_millis(700)).await;
        }
        assert_same_bytes(&taken);
        expect_that!(taken.borrow().len(), ge(3));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_gateway_that_was_fenced_out_stops_reporting() {
    on_local(async {
        let fake = support::Fake::default();
        let taken = Taken::default();
        let state = support::state("g-1");
        let report = intake(&taken, |_| Err(service::ReportError::Fenced));
        task::spawn_local(service::run_duty(state, rc::Rc::new(fake.store()), report, 1));
        time::sleep(Duration::from_secs(40)).await;
        expect_that!(taken.borrow().len(), eq(1));
    })
    .await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn counts_of_a_gateway_that_died_are_reported() {
    on_local(async {
        let fake = support::Fake::default();
        let taken = Taken::default();
        let state = support::state("g-1");
        let team = azuregap_gateway::decision::usage_counts::team_hash("t");
        let beacon = peers::GossipMessage {
            node: "g-dead".to_owned(),
            incarnation: 5,
            wall_time: support::WALL,
            loads: Vec::new(),
            counts: vec![peers::UsageCount { window: first_window(), team, requests: 30 }],
        };
        let from = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
        state.peers.borrow_mut().handle_message(beacon, from, state.clock.now());
        count(&state, "t", 4);
        let report = intake(&taken, |_| Ok(()));
        task::spawn_local(service::run_duty(state, rc::Rc::new(fake.store()), report, 1));
        time::sleep(Duration::from_secs(9)).await;
        let body = taken.borrow().iter().find(|t| t.0 == first_window()).map(|t| t.2.clone());
        let body = String::from_utf8(body.unwrap_or_default()).expect("text");
        expect_that!(body, contains_substring("(\"t\", 34)"));
        expect_that!(
            fake.get(Table::Duties, &format!("usage-report-{}", first_window())),
            some(eq(&body))
        );
    })
    .await;
}
