//! What clients get whose requests are no proper ones or don't come whole, and what is passed on.

mod support;

use std::net;
use std::time::Duration;

use azuregap_gateway::configuration;
use azuregap_gateway::decision::memory_budget;
use googletest::prelude::*;
use support::loopback::*;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;
use tokio::time;

/// Longer than a client may pause in a body.
const SILENCE: Duration = Duration::from_secs(15);

/// Sends bytes and reads until the gateway closes the connection or stays silent.
async fn exchange(address: net::SocketAddr, bytes: &str, silence: Duration) -> String {
    let mut stream = tokio_net::TcpStream::connect(address).await.expect("a connection");
    // The gateway may close the connection before it has read everything.
    let _ = stream.write_all(bytes.as_bytes()).await;
    let mut response = Vec::new();
    let mut part = [0; 4096];
    while let Ok(read) = time::timeout(silence, stream.read(&mut part)).await {
        let Ok(count) = read else { break };
        if count == 0 {
            response.extend_from_slice(b"<closed>");
            break;
        }
        response.extend_from_slice(&part[..count]);
    }
    String::from_utf8_lossy(&response).into_owned()
}

#[gtest]
fn malformed_requests_get_a_4xx_and_are_not_passed_on() {
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (_, address) = gateway(&[&backend]).await;
        let long = format!("a: {}\r\n", "b".repeat(30_000));
        let many = "a:\r\n".repeat(200);
        let cases = [
            ("content-length: 2\r\ncontent-length: 3\r\n\r\nabc", "400"),
            ("content-length: +2\r\n\r\nab", "400"),
            ("content-length: -2\r\n\r\nab", "400"),
            ("content-length: 2 2\r\n\r\nab", "400"),
            ("content-length: 99999999999999999999\r\n\r\nab", "400"),
            ("transfer-encoding: chunked, gzip\r\n\r\n0\r\n\r\n", "400"),
            ("transfer-encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", "400"),
            ("transfer-encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n", "400"),
            ("transfer-encoding: chunked\r\n\r\n-2\r\nab\r\n0\r\n\r\n", "400"),
            ("transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\nab\r\n0\r\n\r\n", "400"),
            ("content-length: 4194305\r\n\r\nab", "413"),
            (&long, "431"),
            (&many, "431"),
        ];
        for (rest, wanted) in cases {
            let bytes = format!("POST /once/a HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n{rest}");
            let response = exchange(address, &bytes, Duration::from_secs(5)).await;
            let name = &rest[..rest.len().min(60)];
            expect_that!(status(&response), eq(wanted), "{name:?}");
            expect_that!(response, ends_with("<closed>"), "{name:?}");
        }
        expect_that!(*backend.requests.borrow(), is_empty());
    });
}

#[gtest]
fn requests_without_a_route_or_key_are_answered_before_their_body_comes() {
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (_, address) = gateway(&[&backend]).await;
        for (path, wanted) in [("/unknown/a", "404"), ("/keyed/a", "401")] {
            let head = format!("POST {path} HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n");
            let long = format!("{head}content-length: 4000000\r\n\r\nabc");
            let response = exchange(address, &long, Duration::from_secs(5)).await;
            expect_that!(status(&response), eq(wanted));
            expect_that!(response, contains_substring("connection: close"));
            // A short body is discarded, and the connection carries the next request.
            let next = "GET /once/a HTTP/1.1\r\nhost: h\r\nx-id: 1\r\nconnection: close\r\n\r\n";
            let short = format!("{head}content-length: 3\r\n\r\nabc{next}");
            let response = exchange(address, &short, Duration::from_secs(5)).await;
            expect_that!(status(&response), eq(wanted));
            expect_that!(response, contains_substring("HTTP/1.1 200 "));
        }
        expect_that!(*backend.requests.borrow(), len(eq(2)));
    });
}

#[gtest]
fn a_request_whose_body_never_comes_is_refused_and_sent_nowhere() {
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (state, address) = gateway(&[&backend]).await;
        let head = "POST /once/a HTTP/1.1\r\nhost: h\r\nx-id: 1\r\ncontent-length: 9\r\n\r\nabc";
        let response = exchange(address, head, SILENCE).await;
        expect_that!(status(&response), eq("408"));
        expect_that!(response, contains_substring("6412"));
        expect_that!(response, ends_with("<closed>"));
        expect_that!(*backend.requests.borrow(), is_empty());
        // The gateway discards what comes until the client closes its side, too.
        let closing = async {
            while state.clients.count() > 0 {
                time::sleep(Duration::from_millis(10)).await;
            }
        };
        expect_that!(time::timeout(Duration::from_secs(5), closing).await, ok(anything()));
    });
}

#[gtest]
fn a_request_that_is_refused_for_its_memory_has_not_run() {
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (state, address) = gateway_with(&[&backend], |settings| {
            settings.resources.memory = Some(26 << 20);
        })
        .await;
        let body = "x".repeat(2 << 20);
        let head = "POST /once/a HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n";
        let long = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
        let response = exchange(address, &long, Duration::from_secs(5)).await;
        expect_that!(status(&response), eq("503"));
        expect_that!(response, contains_substring("retry-after: "));
        expect_that!(response, contains_substring("6413"));
        expect_that!(*backend.requests.borrow(), is_empty());
        // The connection itself counts until it is closed, and nothing of the body does.
        let held = || state.memory_budget.lock().expect("no panic").used();
        let connection = memory_budget::SILENT_BYTES + memory_budget::BUFFER_BYTES;
        expect_that!(held(), any![eq(0), eq(connection)]);
        let closing = async {
            while state.clients.count() > 0 {
                time::sleep(Duration::from_millis(10)).await;
            }
        };
        expect_that!(time::timeout(Duration::from_secs(5), closing).await, ok(anything()));
        expect_that!(held(), eq(0));
        let short = format!("{head}connection: close\r\n\r\n");
        let response = exchange(address, &short, Duration::from_secs(5)).await;
        expect_that!(status(&response), eq("200"));
    });
}

/// The length is ignored beside chunks, and what is passed on has a length of its own.
#[gtest]
fn a_request_with_a_length_and_chunks_is_passed_on_with_one_framing() {
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (_, address) = gateway(&[&backend]).await;
        let bytes = "POST /once/a HTTP/1.1\r\nhost: h\r\nx-id: 1\r\nconnection: close\r\n\
             content-length: 30\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /once/b HTTP/1.1\r\n\r\n";
        let _ = exchange(address, bytes, Duration::from_secs(5)).await;
        let requests = backend.requests.borrow();
        expect_that!(*requests, len(eq(1)));
        let head = requests[0].to_lowercase();
        expect_that!(head, not(contains_substring("transfer-encoding")));
        expect_that!(head, not(contains_substring("content-length: 30")));
    });
}

/// Status of the answer to a request with a head of `length` bytes on a kept connection; "closed" if
/// the gateway has closed the connection.
async fn ask(stream: &mut tokio_net::TcpStream, length: usize) -> String {
    let head = "GET /once/a HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n";
    let filler = "b".repeat(length.saturating_sub(head.len()));
    let _ = stream.write_all(format!("{head}a: {filler}\r\n\r\n").as_bytes()).await;
    let Some(head) = read_head(stream).await else { return "closed".to_owned() };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.expect("a body");
    status(&head).to_owned()
}

#[gtest]
fn a_limit_on_heads_is_in_force_for_clients_that_were_connected_before() {
    // Guards against 431 for good on connections that were opened before the configuration was read, or
    // before it raised the limit.
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (state, address) = gateway(&[&backend]).await;
        let configuration = state.configuration().expect("a configuration");
        let with_limit = |max_head_bytes| {
            let limits = configuration::Limits { max_head_bytes, ..configuration.limits };
            (*configuration).clone().with_limits(limits)
        };
        *state.configuration.borrow_mut() = None;
        for (name, limit, length, wanted) in [
            ("without a configuration", None, 30_000, "503"),
            ("a first one", Some(40 << 10), 38_000, "200"),
            ("raised", Some(48 << 10), 45_000, "200"),
            ("lowered", Some(8 << 10), 30_000, "431"),
            ("as before", Some(8 << 10), 8_000, "200"),
        ] {
            let mut kept = tokio_net::TcpStream::connect(address).await.expect("a connection");
            let first = ask(&mut kept, 100).await;
            expect_that!(first, any![eq("200"), eq("503")], "{name}");
            let before = state.configuration().map(|found| found.limits.max_head_bytes);
            if let Some(limit) = limit {
                state.set_configuration(with_limit(limit));
                state.freshness.borrow_mut().record_confirmation(state.clock.now());
                time::sleep(Duration::from_millis(50)).await;
            }
            let is_kept = limit.is_none() || before == limit;
            let on_kept = ask(&mut kept, length).await;
            expect_that!(on_kept, eq(if is_kept { wanted } else { "closed" }), "{name}");
            let mut new = tokio_net::TcpStream::connect(address).await.expect("a connection");
            expect_that!(ask(&mut new, length).await, eq(wanted), "{name}");
        }
    });
}
