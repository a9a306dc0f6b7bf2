//! Prompts with a segment that crashes each backend server that begins to answer them.

mod support;

use std::cell;
use std::rc;
use std::time::Duration;

use azuregap_gateway::codec;
use googletest::prelude::*;
use support::loopback::*;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;
use tokio::time;

/// The segment that crashes backend servers, as it stands in a request.
const DEADLY: &str = "66:500";

/// Crashes in which a cause may be recognised, and requests with it that may follow.
const MAX_DELIVERIES: usize = 5 + 3;

/// A backend server that drops each request whose prompt has the deadly segment, and answers all
/// others with a stream of one event; counts the dropped ones.
async fn fragile_backend(dropped: &rc::Rc<cell::Cell<usize>>) -> Backend {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let backend = Backend {
        address: listener.local_addr().expect("an address"),
        requests: rc::Rc::default(),
        disconnects: rc::Rc::default(),
    };
    let dropped = dropped.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let dropped = dropped.clone();
            actix_rt::spawn(async move {
                while let Some(head) = read_head(&mut stream).await {
                    if head.contains(DEADLY) {
                        return dropped.set(dropped.get() + 1);
                    }
                    let events = chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n";
                    let text = format!("{STREAM_HEAD}{events}");
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    backend
}

#[gtest]
fn requests_whose_prompt_crashes_backend_servers_do_not_reach_all_of_them() {
    run(async {
        let dropped = rc::Rc::default();
        let mut backends = Vec::new();
        for _ in 0..10 {
            backends.push(fragile_backend(&dropped).await);
        }
        let (state, address) = gateway(&backends.iter().collect::<Vec<_>>()).await;
        for own in 100..130 {
            let headers =
                format!("x-tokens: 8000\r\nx-segments: 1:6000,5:1000,{DEADLY},{own}:9\r\n");
            call(address, "/resume/a", &headers).await;
        }
        expect_that!(dropped.get(), le(MAX_DELIVERIES));
        expect_that!(state.metrics.quarantine_rejections.get(), ge(30 - MAX_DELIVERIES as u64));
        let sound =
            "connection: close\r\nx-tokens: 8000\r\nx-segments: 1:6000,5:1000,77:500,200:9\r\n";
        expect_that!(status(&call(address, "/resume/a", sound).await), eq("200"));
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
            let guilty = codec::Segment { id: 66, tokens: 500 };
            let crash = async {
                time::sleep(Duration::from_millis(200)).await;
                for n in 1..=3 {
                    let at = state.time_of_day() - Duration::from_secs(n);
                    state.quarantine.borrow_mut().record_crash(&[guilty], n as u32, at);
                }
                state.announce_quarantine();
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
