//! Planned stops of a gateway while callers keep sending requests.

mod support;

use std::rc;
use std::time::Duration;

use azuregap_gateway::configuration;
use azuregap_gateway::decision::recent_durations;
use azuregap_gateway::decision::shutdown;
use azuregap_gateway::process;
use azuregap_gateway::state;
use futures::future;
use googletest::prelude::*;
use support::loopback::*;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;
use tokio::time;

const GRACE_PERIOD: Duration = Duration::from_secs(8);

#[gtest]
fn requests_are_admitted_as_long_as_they_are_likely_to_end_before_the_process() {
    let start = time::Instant::now();
    let shutdown = shutdown::Shutdown::new(start, GRACE_PERIOD);
    let longest = Duration::from_secs(15);
    for (name, at_ms, is_stream, likely_ms, is_admitted) in [
        ("a stream while callers can't know", 2_000, true, Some(15_000), true),
        ("a stream later", 2_700, true, Some(100), false),
        ("any request while callers can't know", 2_000, false, None, true),
        ("a long request while callers can't know", 2_500, false, Some(5_100), false),
        ("one that ends in time", 2_300, false, Some(5_100), true),
        ("any request later", 2_700, false, None, false),
        ("a long request later", 2_700, false, Some(5_000), false),
        ("a request that ends in time", 5_900, false, Some(1_500), true),
        ("a request that doesn't", 6_100, false, Some(1_500), false),
        ("a short request near the end", 7_400, false, Some(50), true),
        ("a short request after the end", 7_500, false, Some(0), false),
    ] {
        let now = start + Duration::from_millis(at_ms);
        let likely = likely_ms.map(Duration::from_millis);
        expect_that!(shutdown.admits(is_stream, likely, longest, now), eq(is_admitted), "{name}");
    }
    // A deadline ends a request that takes longer.
    let late = start + Duration::from_secs(7);
    let short = Duration::from_millis(400);
    expect_that!(shutdown.admits(false, Some(longest), short, late), is_true());
    let short = shutdown::Shutdown::new(start, Duration::from_secs(1));
    expect_that!(short.has_ended(start + Duration::from_millis(500)), is_true());
    let end = start + Duration::from_secs(1);
    expect_that!(short.admits(false, Some(Duration::ZERO), longest, end), is_false());
}

#[gtest]
fn likely_duration_leaves_out_one_in_a_hundred_and_what_is_old() {
    let start = time::Instant::now();
    let millis = Duration::from_millis;
    for (name, count, slow, at_s, likely_ms) in [
        ("the longest of a few", 9, 1, 1, Some(2_000)),
        ("one in a hundred exceeds it", 99, 1, 1, Some(100)),
        ("two in a hundred don't", 98, 2, 1, Some(2_000)),
        ("old ones don't count", 98, 2, 61, None),
    ] {
        let mut durations = recent_durations::RecentDurations::default();
        for _ in 0..slow {
            durations.observe(millis(2_000), start);
        }
        for _ in 0..count {
            durations.observe(millis(100), start);
        }
        let likely = durations.likely(start + Duration::from_secs(at_s));
        expect_that!(likely, eq(likely_ms.map(millis)), "{name}");
    }
}

/// A request that a process had taken when it exited was cut without a response.
#[gtest]
fn no_request_that_is_taken_during_a_planned_stop_ends_without_a_response() {
    run(async {
        let slow = Reply { delay: Duration::from_millis(1_500), ..keep_open(RESPONSE) };
        let backend = backend(vec![slow]).await;
        let (state, address) = gateway_with(&[&backend], |settings| {
            settings.grace_period = Duration::from_millis(4_500);
        })
        .await;
        // A request that ends before the stop shows how long they take.
        let call = || call_patiently(address, "/once/a", "", Duration::from_millis(2_500));
        expect_that!(status(&call().await), eq("200"));
        let stopping = actix_rt::spawn(async move { process::shut_down(&state).await });
        let calls = (0..38).map(async |turn| {
            time::sleep(Duration::from_millis(100) * turn).await;
            call().await
        });
        let responses = future::join_all(calls).await;
        stopping.await.expect("the shutdown ends");
        let statuses: Vec<_> = responses.iter().map(|response| status(response)).collect();
        expect_that!(statuses, each(any![eq(&"200"), eq(&"503")]));
        let count = |wanted| statuses.iter().filter(|status| **status == wanted).count();
        // Whatever was refused has not run, and requests are served as long as they end in time.
        expect_that!(backend.requests.borrow().len(), eq(count("200") + 1));
        expect_that!(count("200"), ge(20));
    });
}

/// What was taken before the stop, and what turns out to take longer than it was likely to.
#[gtest]
fn requests_that_outlive_a_planned_stop_get_a_response_that_promises_nothing() {
    run(async {
        let slow = Reply { delay: Duration::from_secs(20), ..keep_open(RESPONSE) };
        let backend = backend(vec![slow]).await;
        let (state, address) = gateway_with(&[&backend], |settings| {
            settings.grace_period = Duration::from_millis(1_000);
        })
        .await;
        let calls = ["/once/a", "/again/a", "/stream/a"].map(|path| call(address, path, ""));
        let unread = send_half(address, "POST /once/a HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n");
        let stopping = async {
            time::sleep(Duration::from_millis(200)).await;
            process::shut_down(&state).await;
        };
        let (responses, unread, ()) =
            future::join3(future::join_all(calls), unread, stopping).await;
        for response in responses {
            expect_that!(status(&response), eq("502"));
            expect_that!(response, contains_substring("connection: close"));
            expect_that!(response, ends_with("<closed>"));
        }
        // A request that wasn't read to its end has not run.
        expect_that!(status(&unread), eq("503"));
        expect_that!(state.active_requests.get(), eq(0));
        expect_that!(state.used_connections.get(), eq(0));
    });
}

#[gtest]
fn the_process_waits_for_clients_that_go_on_reading() {
    let start = time::Instant::now();
    let shutdown = shutdown::Shutdown::new(start, GRACE_PERIOD);
    for (name, at_ms, stalled_ms, is_awaited) in [
        ("a client that reads", 3_000, 0, true),
        ("a slow one", 7_000, 1_500, true),
        ("one that has stopped reading", 3_000, 2_000, false),
        ("one that reads for longer than the grace period", 7_500, 0, false),
    ] {
        let now = start + Duration::from_millis(at_ms);
        let stalled = Duration::from_millis(stalled_ms);
        expect_that!(shutdown.awaits(stalled, now), eq(is_awaited), "{name}");
    }
}

/// Sends a request and reads its answer at some 300 KB a second; returns what came of it.
async fn read_slowly(address: std::net::SocketAddr, request: &str) -> String {
    let socket = tokio_net::TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(32 << 10).expect("a socket option");
    let mut stream = socket.connect(address).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("a request");
    let (mut response, mut bytes) = (Vec::new(), vec![0; 15_000]);
    while let Ok(count) = stream.read(&mut bytes).await
        && count > 0
    {
        response.extend_from_slice(&bytes[..count]);
        time::sleep(Duration::from_millis(50)).await;
    }
    String::from_utf8(response).expect("text")
}

/// Adds routes whose requests may take as long as the grace period.
fn add_patient_routes(state: &state::State) {
    let kinds = [
        ("/patient/", configuration::RouteKind::NonIdempotent),
        ("/patient-stream/", stream_kind(false)),
    ];
    let mut configuration = (*state.configuration().expect("a configuration")).clone();
    for (prefix, kind) in kinds {
        let route = configuration::Route { timeout: GRACE_PERIOD, ..route(prefix, kind, 1) };
        configuration = configuration.with_route(route);
    }
    *state.configuration.borrow_mut() = Some(rc::Rc::new(configuration));
}

#[gtest]
fn answers_that_clients_read_slowly_are_whole_when_a_stopped_process_exits() {
    // Guards against answers that were cut by the exit, since only the requests were waited for.
    let body = "data: 0123456789abcdefghijklmnopqrstuvwxyz0123456\n\n".repeat(20_000);
    let length = format!("content-length: {}\r\n\r\n", body.len());
    for (name, path, head) in [
        ("with a length", "/patient/a", length.as_str()),
        ("until the connection ends", "/patient/a", "\r\n"),
        ("a stream", "/patient-stream/a", "\r\n"),
    ] {
        run(async {
            let answer = format!("HTTP/1.1 200 OK\r\nx-id: 1\r\n{head}{body}");
            let backend = backend(vec![close_after(answer)]).await;
            let (state, address) = gateway_with(&[&backend], |settings| {
                settings.grace_period = GRACE_PERIOD;
            })
            .await;
            add_patient_routes(&state);
            let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n\r\n");
            let reading = actix_rt::spawn(async move { read_slowly(address, &request).await });
            time::sleep(Duration::from_millis(300)).await;
            process::shut_down(&state).await;
            // Nothing is left to the time after the exit.
            expect_that!(reading.is_finished(), is_true(), "{name}");
            let response = reading.await.expect("the client ends");
            let events = response.matches("data: ").count();
            expect_that!(events, eq(20_000), "{name}");
        });
    }
}

/// Sends a request of which the last byte of the body is missing, and reads the response.
async fn send_half(address: std::net::SocketAddr, head: &str) -> String {
    let mut stream = tokio_net::TcpStream::connect(address).await.expect("a connection");
    let request = format!("{head}content-length: 2\r\n\r\na");
    stream.write_all(request.as_bytes()).await.expect("a request");
    let mut bytes = vec![0; 1_024];
    let read = time::timeout(Duration::from_secs(2), stream.read(&mut bytes)).await;
    bytes.truncate(read.map_or(0, std::result::Result::unwrap_or_default));
    String::from_utf8(bytes).expect("text")
}
