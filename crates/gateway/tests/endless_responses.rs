//! Backend servers that send bytes without end, in a head or a body.

mod support;

use std::cell;
use std::io::Read as _;
use std::io::Write as _;
use std::iter;
use std::rc;
use std::thread;
use std::time::Duration;

use azuregap_gateway::configuration;
use azuregap_gateway::directory;
use googletest::prelude::*;
use support::loopback::*;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;
use tokio::time;

/// Bytes that a backend server has sent, and whether the gateway has closed the connection.
#[derive(Default)]
struct Sent {
    bytes: cell::Cell<usize>,
    is_closed: cell::Cell<bool>,
}

/// A backend server that writes `head` and then `filler` until its connection is closed.
async fn endless_backend(head: &'static str, filler: &str) -> (Backend, rc::Rc<Sent>) {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let backend = Backend {
        address: listener.local_addr().expect("an address"),
        requests: rc::Rc::default(),
        disconnects: rc::Rc::default(),
    };
    let sent = rc::Rc::new(Sent::default());
    let counted = sent.clone();
    let filler = filler.repeat(64 * 1024 / filler.len());
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            if read_head(&mut stream).await.is_none() {
                continue;
            }
            let mut result = stream.write_all(head.as_bytes()).await;
            while result.is_ok() {
                counted.bytes.set(counted.bytes.get() + filler.len());
                result = stream.write_all(filler.as_bytes()).await;
                // Lets the other connections send at the same time.
                time::sleep(Duration::from_millis(1)).await;
            }
            counted.is_closed.set(true);
        }
    });
    (backend, sent)
}

/// Time after which a caller gives up in a test of a busy gateway.
const LIMIT: Duration = Duration::from_secs(30);

/// Half of the memory of the smallest VM, which has 88 MB; what the kernel buffers is included.
const MAX_BYTES: usize = 44_000_000;

/// A body that isn't a stream is read until the deadline if it is not too long for the memory;
/// everything else is recognised before the deadline.
#[gtest]
fn endless_responses_are_given_up_before_they_fill_the_memory() {
    const FRAMED: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n";
    const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\n";
    const GIVEN_UP: &[&str] = &["502"];
    const ANY_ERROR: &[&str] = &["502", "504"];
    let chunk = chunk(&"a".repeat(4_096));
    for (name, statuses, path, head, filler) in [
        ("one long header", GIVEN_UP, "/once/a", "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-a: ", "a"),
        ("many headers", GIVEN_UP, "/once/a", "HTTP/1.1 200 OK\r\nx-id: 1\r\n", "x-a: a\r\n"),
        ("interim responses", GIVEN_UP, "/once/a", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        ("no response", GIVEN_UP, "/once/a", "", "abc"),
        ("body", ANY_ERROR, "/once/a", UNFRAMED, "abc"),
        ("chunks", ANY_ERROR, "/once/a", FRAMED, &chunk),
        ("event", GIVEN_UP, "/stream/a", UNFRAMED, "abc"),
        ("event in chunks", GIVEN_UP, "/stream/a", FRAMED, &chunk),
    ] {
        run(async {
            let (backend, sent) = endless_backend(head, filler).await;
            let (_, address) = gateway(&[&backend]).await;
            let calls = (0..4).map(|_| call(address, path, "x-patience-ms: 800\r\n"));
            for response in futures::future::join_all(calls).await {
                let status = status(&response);
                expect_that!(statuses.contains(&status), is_true(), "{name}: {status}");
            }
            time::sleep(Duration::from_millis(100)).await;
            expect_that!(sent.is_closed.get(), is_true(), "{name}");
            expect_that!(sent.bytes.get(), le(MAX_BYTES), "{name}");
        });
    }
}

#[gtest]
fn whole_responses_are_delivered_beside_endless_ones() {
    run(async {
        let (endless, _) = endless_backend("HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\n", "abc").await;
        let (_, address) = gateway(&[&endless]).await;
        let large = "a".repeat(3 << 20);
        let head = format!("HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: {}\r\n\r\n", large.len());
        let sound = backend(vec![keep_open(head + &large)]).await;
        let (_, sound_address) = gateway(&[&sound]).await;
        let calls = (0..3).map(|_| call(address, "/once/a", "x-patience-ms: 700\r\n"));
        let (_, response) =
            futures::join!(futures::future::join_all(calls), call(sound_address, "/once/a", ""));
        expect_that!(response.len(), gt(large.len()));
    });
}

/// Starts a backend server on a thread of its own that writes `filler` without a pause until its
/// connection is closed.
fn fast_endless_backend(filler: &str) -> Backend {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let filler = filler.repeat(64 * 1024 / filler.len());
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), filler) = (stream, filler.clone()) else { return };
            thread::spawn(move || {
                let mut head = [0; 1024];
                let is_request = stream.read(&mut head).is_ok_and(|length| length > 0);
                while is_request && stream.write_all(filler.as_bytes()).is_ok() {}
            });
        }
    });
    Backend { address, requests: rc::Rc::default(), disconnects: rc::Rc::default() }
}

#[gtest]
fn callers_are_answered_while_backend_servers_send_interim_responses_without_end() {
    // Guards against a gateway that served nobody while connections with bytes to read held its thread.
    run(async {
        let filler = "HTTP/1.1 103 Early Hints\r\n\r\n";
        let endless = [fast_endless_backend(filler), fast_endless_backend(filler)];
        let sound = backend(vec![keep_open(RESPONSE)]).await;
        let (state, address) = gateway(&[&endless[0], &endless[1]]).await;
        state.directory.borrow_mut().update(directory::Backend {
            id: "sound".to_owned(),
            started_ms: 1,
            service: "sound".to_owned(),
            address: sound.address,
            zone: "a".to_owned(),
            slots: 4,
            cold_left: Some(Duration::ZERO),
            draining: false,
        });
        let configuration = state.configuration().expect("a configuration");
        let route = configuration::Route {
            services: iter::once(configuration::WeightedService {
                service: "sound".to_owned(),
                weight: 1,
            })
            .collect(),
            ..route("/sound/", configuration::RouteKind::Idempotent, 1)
        };
        let configuration = (*configuration).clone().with_route(route);
        *state.configuration.borrow_mut() = Some(rc::Rc::new(configuration));
        let headers = "connection: close\r\nx-patience-ms: 1900\r\n";
        let calls = (0..60).map(|n| {
            let path = if n % 5 == 0 { "/sound/a" } else { "/once/a" };
            async move { (path, call_patiently(address, path, headers, LIMIT).await) }
        });
        for (path, response) in futures::future::join_all(calls).await {
            let expected = if path == "/sound/a" { "200" } else { "502" };
            expect_that!(status(&response), eq(expected), "{path}: {response}");
        }
    });
}
