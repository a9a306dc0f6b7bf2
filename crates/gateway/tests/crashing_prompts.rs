//! Prompts with a segment that crashes each backend server that begins to answer them.

mod support;

use std::rc;
use std::time::Duration;

use azuregap_gateway::decision::quarantine;
use googletest::prelude::*;
use support::fragile;
use support::loopback::*;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;
use tokio::time;

/// The segment that crashes backend servers, as it stands in a request.
const DEADLY: &str = "66:500";

/// Crashes in which a cause may be recognised, and requests with it that may follow.
const MAX_DELIVERIES: usize = 5 + 3;

/// A crash of a backend server while it ran a request that it had just got.
fn crash(backend_hash: u32, at: Duration) -> quarantine::Crash {
    quarantine::Crash { backend_hash, started_ms: 1, sent_at: at, at }
}

/// A backend server whose streams take 90 ms for each event.
async fn slow_backend(events: Vec<String>) -> Backend {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let backend = Backend {
        address: listener.local_addr().expect("an address"),
        requests: rc::Rc::default(),
        disconnects: rc::Rc::default(),
    };
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let events = events.clone();
            actix_rt::spawn(async move {
                while read_head(&mut stream).await.is_some() {
                    let _ = stream.write_all(STREAM_HEAD.as_bytes()).await;
                    for event in &events {
                        time::sleep(Duration::from_millis(90)).await;
                        if stream.write_all(event.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                    let _ = stream.write_all(b"0\r\n\r\n").await;
                }
            });
        }
    });
    backend
}

/// Sends 30 requests with the deadly segment; returns how many of them reach ten backend servers,
/// and how many are rejected.
async fn send_deadly(on_deadly: fragile::OnDeadly) -> (usize, u64) {
    let deadly = fragile::Deadly::new(DEADLY);
    let mut backends = Vec::new();
    for _ in 0..10 {
        backends.push(fragile::backend(on_deadly, &deadly).await);
    }
    let (state, address) = gateway(&backends.iter().collect::<Vec<_>>()).await;
    for own in 100..130 {
        let headers = format!("x-tokens: 8000\r\nx-segments: 1:6000,5:1000,{DEADLY},{own}:9\r\n");
        call(address, "/resume/a", &headers).await;
    }
    let sound = "x-tokens: 8000\r\nx-segments: 1:6000,5:1000,77:500,200:9\r\n";
    expect_that!(status(&call(address, "/resume/a", sound).await), eq("200"));
    (deadly.count.get(), state.metrics.quarantine_rejections.get())
}

#[gtest]
fn requests_whose_prompt_crashes_backend_servers_do_not_reach_all_of_them() {
    run(async {
        let (reached, rejected) = send_deadly(fragile::OnDeadly::Crash).await;
        expect_that!(reached, le(MAX_DELIVERIES));
        expect_that!(rejected, ge(30 - MAX_DELIVERIES as u64));
    });
}

#[gtest]
fn connections_that_live_backend_servers_close_quarantine_nothing() {
    run(async {
        let (reached, rejected) = send_deadly(fragile::OnDeadly::Close).await;
        expect_that!(reached, eq(2 * 30));
        expect_that!(rejected, eq(0));
    });
}

#[gtest]
fn requests_that_wait_at_a_backend_server_are_ended_when_their_prompt_is_quarantined() {
    let silent =
        |text: &str| Reply { text: text.to_owned(), closes: false, delay: Duration::from_secs(2) };
    // The second one has sent its head.
    for replies in [vec![silent("")], vec![keep_open(STREAM_HEAD)]] {
        run(async {
            let backend = backend(replies).await;
            let (state, address) = gateway(&[&backend]).await;
            let guilty = quarantine::SuspectId::Segment(66);
            let crash = async {
                time::sleep(Duration::from_millis(200)).await;
                for n in 1..=3 {
                    let at = state.time_of_day() - Duration::from_secs(n);
                    state.quarantine.borrow_mut().record_crash(&[guilty], crash(n as u32, at));
                }
                state.announce_news();
            };
            let headers = format!("x-tokens: 800\r\nx-segments: 1:50,{DEADLY},9:9\r\n");
            let sound = "x-tokens: 800\r\nx-segments: 1:50,77:500,9:9\r\n";
            let (response, other, ()) = futures::join!(
                call(address, "/stream/a", &headers),
                call(address, "/stream/a", sound),
                crash
            );
            expect_that!(status(&response), eq("502"));
            expect_that!(other, eq(""), "it waits on");
        });
    }
}

/// Answers of all requests share their first segment and take longer than the crashes are apart.
#[gtest]
fn connections_that_are_lost_now_and_then_quarantine_nothing_that_is_answered() {
    run(async {
        let events: Vec<_> = (0..20).map(|id| chunk(&format!("id: {id}\ndata: a\n\n"))).collect();
        let slow = slow_backend(events).await;
        let (state, address) = gateway(&[&slow]).await;
        let common = quarantine::SuspectId::Segment(1);
        let headers = "connection: close\r\nx-tokens: 800\r\nx-segments: 1:50,9:9\r\n";
        let calls = (0..15_u64).map(|n| async move {
            time::sleep(Duration::from_millis(100 * n)).await;
            call(address, "/stream/a", headers).await
        });
        let losses = async {
            for n in 0..4 {
                time::sleep(Duration::from_millis(400)).await;
                let now = state.time_of_day();
                state.quarantine.borrow_mut().record_crash(&[common], crash(n, now));
                state.announce_news();
            }
        };
        let (responses, ()) = futures::join!(futures::future::join_all(calls), losses);
        for response in responses {
            expect_that!(status(&response), eq("200"));
            expect_that!(response, contains_substring("0\r\n\r\n"));
        }
    });
}
