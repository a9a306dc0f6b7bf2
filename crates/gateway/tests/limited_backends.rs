//! Backend servers that name in their responses how many requests a second they take.

mod support;

use std::rc;
use std::time::Duration;

use azuregap_gateway::decision::backend_limit;
use azuregap_gateway::directory;
use azuregap_gateway::state;
use futures::future;
use googletest::prelude::*;
use support::loopback::*;
use tokio::time;

fn naming(limit: &str) -> Reply {
    keep_open(RESPONSE.replace("x-id: 1", &format!("x-id: 1\r\nx-limit: {limit}")))
}

/// Lets the gateway know that a backend server names a limit.
fn limit(state: &rc::Rc<state::State>, backend: &str, limit: f64) {
    let now = state.clock.now();
    let limit = backend_limit::NamedLimit::from_rate(limit);
    let statement = backend_limit::Statement { limit, sent_at: now, heard_at: now };
    let hash = directory::id_hash(backend);
    state.backend_limits.borrow_mut().record(hash, 1, &statement, now);
}

fn retry_after(response: &str) -> Option<f64> {
    response.lines().find_map(|line| line.strip_prefix("retry-after: "))?.parse().ok()
}

#[gtest]
fn server_that_names_a_limit_gets_no_more_requests_than_it_takes() {
    run(async {
        let backend = backend(vec![naming("1.8")]).await;
        let (_, address) = gateway(&[&backend]).await;
        call(address, "/once/a", "").await;
        future::join_all((0..40).map(|_| call(address, "/once/a", ""))).await;
        // One and a half times the limit in four seconds, and five.
        expect_that!(backend.requests.borrow().len(), le(15));
    });
}

/// Every way in which a request is sent, while the limit of the first backend server is used up.
#[gtest]
fn no_way_of_sending_passes_by_the_limit() {
    let cut = || close_after(format!("{STREAM_HEAD}{}", chunk("id: 1\ndata: a\n\n")));
    let failing = || close_after("HTTP/1.1 500 Failed\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n");
    let full = || {
        let head = "HTTP/1.1 503 Full\r\nx-id: 1\r\nx-not-run: 1\r\n";
        keep_open(format!("{head}content-length: 0\r\n\r\n"))
    };
    let quiet = || {
        let head = "HTTP/1.1 503 Full\r\nx-id: 1\r\nx-not-run: 1\r\nx-quiet-ms: 1\r\n";
        keep_open(format!("{head}content-length: 0\r\n\r\n"))
    };
    for (name, path, other, calls) in [
        ("first sends", "/once/a", keep_open(RESPONSE), 3),
        ("retries after an error", "/again/a", failing(), 3),
        ("retries after a lost connection", "/again/a", close_after(""), 3),
        ("sends after a rejection", "/once/a", full(), 3),
        ("resumed streams", "/resume/a", cut(), 2),
        ("requests after a quiet period", "/once/a", quiet(), 3),
    ] {
        run(async {
            let (limited, other) =
                (backend(vec![keep_open(RESPONSE)]).await, backend(vec![other]).await);
            let (state, address) = gateway(&[&limited, &other]).await;
            limit(&state, "b-0", 0.0);
            for _ in 0..calls {
                call(address, path, "x-patience-ms: 500\r\nx-segments: 5:900,6:10\r\n").await;
            }
            expect_that!(limited.requests.borrow().len(), eq(0), "{name}");
            expect_that!(other.requests.borrow().len(), ge(1), "{name}");
        });
    }
}

#[gtest]
fn a_server_that_asked_for_quiet_and_names_a_limit_gets_no_trial_beyond_it() {
    run(async {
        let head =
            "HTTP/1.1 503 Full\r\nx-id: 1\r\nx-not-run: 1\r\nx-quiet-ms: 50\r\nx-limit: 0\r\n";
        let backend = backend(vec![keep_open(format!("{head}content-length: 0\r\n\r\n"))]).await;
        let (_, address) = gateway(&[&backend]).await;
        for _ in 0..3 {
            call(address, "/once/a", "").await;
            time::sleep(Duration::from_millis(100)).await;
        }
        expect_that!(backend.requests.borrow().len(), eq(1));
    });
}

#[gtest]
fn work_of_a_limited_server_goes_to_others_although_it_has_cached_the_prompt() {
    run(async {
        let (limited, other) =
            (backend(vec![naming("0.5")]).await, backend(vec![keep_open(RESPONSE)]).await);
        let (state, address) = gateway(&[&limited, &other]).await;
        limit(&state, "b-0", 0.5);
        let now = time::Instant::now();
        let read = azuregap_gateway::peers::CachedSegment {
            backend_hash: directory::id_hash("b-0"),
            segment: 5,
        };
        state.directory.borrow_mut().record_reads(&[read], now);
        let headers = "x-tokens: 5000\r\nx-segments: 5:4900,6:100\r\n";
        let calls = (0..20).map(|_| call(address, "/once/a", headers));
        for response in future::join_all(calls).await {
            expect_that!(status(&response), eq("200"));
        }
        expect_that!(limited.requests.borrow().len(), le(1));
        // What a server in need would have to send is read anew.
        expect_that!(
            other.requests.borrow().iter().filter(|head| head.contains("x-fetch")).count(),
            eq(0)
        );
    });
}

#[gtest]
fn requests_beyond_all_limits_are_refused_at_once_with_the_time_of_the_next_place() {
    run(async {
        let backend = backend(vec![naming("0.5")]).await;
        let (state, address) = gateway(&[&backend]).await;
        limit(&state, "b-0", 0.5);
        let started = time::Instant::now();
        let response = call(address, "/once/a", "x-patience-ms: 60000\r\n").await;
        // Reading ends when the gateway has been silent for 900 ms.
        expect_that!(started.elapsed(), lt(Duration::from_millis(1_100)));
        expect_that!(status(&response), eq("503"));
        // A place comes up after two seconds; the route's time left allows a third of it.
        expect_that!(retry_after(&response), some(ge(0.6)));
        expect_that!(backend.requests.borrow().len(), eq(0));
    });
}

#[gtest]
fn request_waits_for_a_place_that_comes_up_in_time() {
    run(async {
        let backend = backend(vec![naming("12")]).await;
        let (state, address) = gateway(&[&backend]).await;
        limit(&state, "b-0", 12.0);
        expect_that!(status(&call(address, "/once/a", "").await), eq("200"));
        expect_that!(
            state.metrics.encode(),
            contains_substring(r#"limit_waits_total{outcome="placed"} 1"#)
        );
    });
}

#[gtest]
fn requests_flow_again_when_the_server_names_no_limit_any_more() {
    run(async {
        let backend = backend(vec![naming("4"), keep_open(RESPONSE)]).await;
        let (state, address) = gateway(&[&backend]).await;
        call(address, "/once/a", "").await;
        expect_that!(state.backend_limits.borrow().count(), eq(1));
        // The call before took longer than it takes a place to come up.
        expect_that!(status(&call(address, "/once/a", "").await), eq("200"));
        expect_that!(state.backend_limits.borrow().count(), eq(0));
        let calls = (0..20).map(|_| call(address, "/once/a", ""));
        for response in future::join_all(calls).await {
            expect_that!(status(&response), eq("200"));
        }
        expect_that!(backend.requests.borrow().len(), eq(22));
    });
}

#[gtest]
fn a_gateway_that_others_may_not_know_sends_a_limited_server_nothing() {
    run(async {
        let backend = backend(vec![naming("50")]).await;
        let (state, address) = gateway(&[&backend]).await;
        limit(&state, "b-0", 50.0);
        state.membership.borrow_mut().record_loss();
        expect_that!(status(&call(address, "/once/a", "").await), eq("503"));
        expect_that!(backend.requests.borrow().len(), eq(0));
    });
}

/// A request waited without end for a place at a server that wanted no requests.
#[gtest]
fn a_request_is_refused_while_the_last_server_with_a_place_asks_for_quiet() {
    let full = "HTTP/1.1 503 Full\r\nx-id: 1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    for (name, quiet, path, expected) in [
        ("long", Duration::from_secs(20), "/once/a", "503"),
        ("long, a stream", Duration::from_secs(20), "/stream/a", "503"),
        ("short", Duration::from_millis(60), "/once/a", "200"),
    ] {
        run(async {
            let limited = backend(vec![naming("20")]).await;
            let other = backend(vec![keep_open(full)]).await;
            let (state, address) = gateway(&[&limited, &other]).await;
            limit(&state, "b-0", 20.0);
            let now = time::Instant::now();
            state.directory.borrow_mut().record_quiet_period("b-0", 1, quiet, now);
            let response = call(address, path, "x-patience-ms: 500\r\n").await;
            expect_that!(status(&response), eq(expected), "{name}");
        });
    }
}

/// The time until a place, which never comes up, was too long to be calculated with, and the caller's
/// connection was closed.
#[gtest]
fn a_limit_of_nothing_at_a_gateway_without_a_share_leads_to_a_response() {
    let failing = "HTTP/1.1 500 Failed\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n";
    for (name, named, path, with_other, expected) in [
        ("alone, nothing", 0.0, "/once/a", false, "503"),
        ("alone, next to nothing", 1e-300, "/once/a", false, "503"),
        ("beside a server that fails", 0.0, "/again/a", true, "500"),
        ("beside a server that fails, once only", 0.0, "/once/a", true, "500"),
    ] {
        run(async {
            let limited = backend(vec![keep_open(RESPONSE)]).await;
            let other = backend(vec![keep_open(failing)]).await;
            let backends = [&limited, &other];
            let (state, address) = gateway(&backends[..if with_other { 2 } else { 1 }]).await;
            limit(&state, "b-0", named);
            state.membership.borrow_mut().record_loss();
            let response = call(address, path, "").await;
            expect_that!(status(&response), eq(expected), "{name}");
            expect_that!(limited.requests.borrow().len(), eq(0), "{name}");
        });
    }
}
