//! Requests with a quarantined prompt segment that show whether it still crashes backend servers.

mod support;

use std::net;
use std::rc;
use std::time::Duration;

use azuregap_gateway::codec;
use azuregap_gateway::decision::backend_limit;
use azuregap_gateway::decision::quarantine;
use azuregap_gateway::decision::quarantine::turn;
use azuregap_gateway::directory;
use azuregap_gateway::state;
use googletest::prelude::*;
use support::loopback::*;

const GUILTY: codec::SegmentId = 42;

const SUSPECT: quarantine::SuspectId = quarantine::SuspectId::Segment(GUILTY);

/// Lets a segment have crashed three backend servers before the hold began.
fn crash_long_ago(state: &rc::Rc<state::State>) {
    let suspects = [SUSPECT];
    for n in 0..3 {
        let at = state.time_of_day() - Duration::from_secs(1_500 - n);
        let (backend_hash, started_ms) = (n as u32, 1);
        let crash = quarantine::Crash { backend_hash, started_ms, sent_at: at, at };
        state.quarantine.borrow_mut().record_crash(&suspects, crash);
    }
}

const HEADERS: &str = "x-segments: 42:900,6:10\r\n";

#[gtest]
fn gateways_that_others_may_not_know_send_no_trials() {
    for (is_counted, expected) in [(true, 1), (false, 0)] {
        run(async {
            let backend = backend(vec![keep_open(RESPONSE)]).await;
            let (state, address) = gateway(&[&backend]).await;
            crash_long_ago(&state);
            if !is_counted {
                state.membership.borrow_mut().record_loss();
            }
            let response = call(address, "/once/a", HEADERS).await;
            expect_that!(status(&response), eq(if is_counted { "200" } else { "503" }));
            expect_that!(backend.requests.borrow().len(), eq(expected), "counted: {is_counted}");
        });
    }
}

/// Asked every 250 ms for ten turns.
#[gtest]
fn at_most_one_gateway_of_a_fleet_sends_a_trial_in_each_turn() {
    for gateways in [1, 3, 4, 34, 301, 3_100] {
        let nodes: Vec<_> = (0..gateways).map(|n| format!("g-{n}")).collect();
        for number in 0..10 {
            let begin = support::START_TIME + turn::TURN * number;
            let moments = (0..16).map(|step| begin + turn::TURN / 16 * step);
            let may_try = |node: &&String| {
                let others = || nodes.iter().filter(|other| other != node).map(String::as_str);
                moments.clone().any(|now| turn::is_turn(&SUSPECT, node, others(), now))
            };
            expect_that!(nodes.iter().filter(may_try).count(), eq(1), "{gateways}, {number}");
        }
    }
}

#[gtest]
fn a_gateway_that_is_not_chosen_rejects_the_request_as_not_run() {
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (state, address) = gateway(&[&backend]).await;
        crash_long_ago(&state);
        let (now, nowhere) = (state.clock.now(), net::SocketAddr::from(([127, 0, 0, 1], 9)));
        let mut number = 0;
        while state.may_try(&SUSPECT) {
            state.peers.borrow_mut().add_listed(format!("other-{number}"), nowhere, now);
            number += 1;
        }
        expect_that!(status(&call(address, "/once/a", HEADERS).await), eq("503"));
        expect_that!(backend.requests.borrow().len(), eq(0));
    });
}

#[gtest]
fn a_trial_passes_by_no_limit() {
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (state, address) = gateway(&[&backend]).await;
        crash_long_ago(&state);
        let now = state.clock.now();
        let limit = backend_limit::NamedLimit::PerSecond(0.0);
        let statement = backend_limit::Statement { limit, sent_at: now, heard_at: now };
        let hash = directory::id_hash("b-0");
        state.backend_limits.borrow_mut().record(hash, 1, &statement, now);
        expect_that!(status(&call(address, "/once/a", HEADERS).await), eq("503"));
        expect_that!(backend.requests.borrow().len(), eq(0));
    });
}
