//! Requests through a gateway to backend servers that fail in various ways.

mod support;

use std::cell;
use std::rc;
use std::time::Duration;

use azuregap_gateway::configuration;
use azuregap_gateway::decision::freshness;
use azuregap_gateway::state;
use googletest::prelude::*;
use support::loopback::*;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;
use tokio::time;

#[gtest]
fn response_is_forwarded_unchanged_and_connection_is_reused() {
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (state, address) = gateway(&[&backend]).await;
        for _ in 0..2 {
            let response = call(address, "/once/a?b=%20c", "").await;
            expect_that!(response, ends_with("\r\n\r\nhello"));
        }
        expect_that!(backend.requests.borrow()[0], starts_with("GET /once/a?b=%20c HTTP/1.1\r\n"));
        expect_that!(state.metrics.connections.get(), eq(1));
    });
}

#[gtest]
fn non_idempotent_request_is_not_retried_after_lost_response() {
    run(async {
        let (first, second) =
            (backend(vec![close_after("")]).await, backend(vec![close_after("")]).await);
        let (_, address) = gateway(&[&first, &second]).await;
        let response = call(address, "/once/a", "").await;
        expect_that!(status(&response), eq("502"));
        expect_that!(first.requests.borrow().len() + second.requests.borrow().len(), eq(1));
    });
}

#[gtest]
fn idempotent_request_is_retried_after_lost_response() {
    run(async {
        let (first, second) =
            (backend(vec![close_after("")]).await, backend(vec![close_after("")]).await);
        let (_, address) = gateway(&[&first, &second]).await;
        let response = call(address, "/again/a", "").await;
        expect_that!(status(&response), eq("502"));
        expect_that!(first.requests.borrow().len() + second.requests.borrow().len(), eq(2));
    });
}

#[gtest]
fn request_that_was_not_executed_gets_503_with_retry_after() {
    run(async {
        let overloaded =
            "HTTP/1.1 503 Full\r\nx-id: 1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        let backend = backend(vec![keep_open(overloaded)]).await;
        let (_, address) = gateway(&[&backend]).await;
        let response = call(address, "/once/a", "").await;
        expect_that!(status(&response), eq("503"));
        expect_that!(response, contains_substring("retry-after: "));
    });
}

/// A backend server that resets each connection at its second request, without closing it before.
async fn resetting_backend() -> Backend {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let requests = rc::Rc::new(cell::RefCell::new(Vec::new()));
    let received = requests.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let received = received.clone();
            actix_rt::spawn(async move {
                let Some(head) = read_head(&mut stream).await else { return };
                received.borrow_mut().push(head);
                stream.write_all(RESPONSE.as_bytes()).await.expect("the response is written");
                // The rest of the next request stays unread, so dropping the socket sends a reset.
                let _first_byte = stream.read_u8().await;
            });
        }
    });
    Backend { address, requests, disconnects: rc::Rc::default() }
}

#[gtest]
fn idle_connections_are_not_reused_after_a_request_was_lost_on_one() {
    run(async {
        let backend = resetting_backend().await;
        let (_, address) = gateway(&[&backend]).await;
        let mut statuses = Vec::new();
        for _ in 0..6 {
            statuses.push(status(&call(address, "/once/a", "").await).to_owned());
        }
        let lost = statuses.iter().filter(|status| *status == "502").count();
        expect_that!(lost, le(1), "{statuses:?}");
    });
}

#[gtest]
fn response_to_another_request_is_not_forwarded() {
    run(async {
        let mismatched = "HTTP/1.1 200 OK\r\nx-id: 2\r\ncontent-length: 5\r\n\r\nother";
        let backend = backend(vec![keep_open(mismatched)]).await;
        let (state, address) = gateway(&[&backend]).await;
        let response = call(address, "/once/a", "").await;
        expect_that!(status(&response), eq("502"));
        expect_that!(response, not(contains_substring("other")));
        expect_that!(state.pool.idle_count(backend.address), eq(0));
    });
}

#[gtest]
fn unsigned_success_response_is_not_forwarded() {
    run(async {
        let unsigned =
            "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-unsigned: 1\r\ncontent-length: 5\r\n\r\nother";
        let backend = backend(vec![keep_open(unsigned)]).await;
        let (_, address) = gateway(&[&backend]).await;
        expect_that!(status(&call(address, "/once/a", "").await), eq("502"));
    });
}

#[gtest]
fn unsolicited_response_is_not_used_for_the_next_request() {
    run(async {
        let two_responses =
            format!("{RESPONSE}HTTP/1.1 200 OK\r\nx-id: 9\r\ncontent-length: 5\r\n\r\nother");
        let backend = backend(vec![keep_open(two_responses), keep_open(RESPONSE)]).await;
        let (_, address) = gateway(&[&backend]).await;
        expect_that!(call(address, "/once/a", "").await, ends_with("hello"));
        expect_that!(call(address, "/once/a", "").await, ends_with("hello"));
    });
}

#[gtest]
fn client_disconnect_cancels_the_backend_request() {
    run(async {
        let slow = Reply { delay: Duration::from_secs(5), ..keep_open(RESPONSE) };
        let backend = backend(vec![slow]).await;
        let (state, address) = gateway(&[&backend]).await;
        let mut stream = tokio_net::TcpStream::connect(address).await.expect("a connection");
        let head = b"GET /again/a HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n\r\n";
        stream.write_all(head).await.expect("a request");
        time::sleep(Duration::from_millis(100)).await;
        expect_that!(state.active_requests.get(), eq(1));
        drop(stream);
        time::sleep(Duration::from_millis(100)).await;
        expect_that!(backend.disconnects.get(), eq(1));
        expect_that!(state.active_requests.get(), eq(0));
        expect_that!(
            state.directory.borrow().get("b-0").map(|b| b.own_load.total().in_flight),
            some(eq(0))
        );
    });
}

#[gtest]
fn client_disconnect_before_the_response_is_counted_as_status_499() {
    run(async {
        let slow = Reply { delay: Duration::from_secs(5), ..keep_open(RESPONSE) };
        let backend = backend(vec![slow]).await;
        let (state, address) = gateway(&[&backend]).await;
        let mut stream = tokio_net::TcpStream::connect(address).await.expect("a connection");
        let head = "GET /once/a HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("a request");
        time::sleep(Duration::from_millis(100)).await;
        drop(stream);
        time::sleep(Duration::from_millis(200)).await;
        expect_that!(state.metrics.requests.with_label_values(&["499"]).get(), eq(1));
    });
}

#[gtest]
fn request_ends_with_504_at_the_client_deadline() {
    run(async {
        let slow = Reply { delay: Duration::from_secs(5), ..keep_open(RESPONSE) };
        let backend = backend(vec![slow]).await;
        let (_, address) = gateway(&[&backend]).await;
        let started = time::Instant::now();
        let response = call(address, "/again/a", "x-patience-ms: 150\r\n").await;
        expect_that!(status(&response), eq("504"));
        expect_that!(started.elapsed().as_millis(), le(1_600));
        expect_that!(backend.disconnects.get(), eq(1));
    });
}

#[gtest]
fn api_key_is_checked_and_not_forwarded() {
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (state, address) = gateway(&[&backend]).await;
        expect_that!(status(&call(address, "/keyed/a", "").await), eq("401"));
        expect_that!(status(&call(address, "/keyed/a", "x-key: wrong\r\n").await), eq("401"));
        expect_that!(status(&call(address, "/keyed/a", "x-key: secret\r\n").await), eq("200"));
        expect_that!(backend.requests.borrow()[0], not(contains_substring("secret")));
        // A denial needs a recent confirmation, which the earlier calls may have outlasted.
        state.freshness.borrow_mut().record_confirmation(state.clock.now());
        expect_that!(status(&call(address, "/nowhere/a", "").await), eq("404"));
        expect_that!(state.usage_counts.borrow().newest(1).map(|(_, _, n)| n).sum::<u64>(), eq(1));
    });
}

/// Guards against requests that nobody pays for since their team was removed while they ran.
#[gtest]
fn a_request_under_way_counts_once_for_a_team_that_is_removed() {
    run(async {
        let slow = |text: &str, closes| Reply {
            text: text.to_owned(),
            closes,
            delay: Duration::from_millis(200),
        };
        let backends =
            [backend(vec![slow("", true)]).await, backend(vec![slow(RESPONSE, false)]).await];
        let (state, address) = gateway(&[&backends[0], &backends[1]]).await;
        support::list_for_long(&state);
        let with_route = |version| {
            let route = route("/keyed/", configuration::RouteKind::Idempotent, 2);
            let route = configuration::Route { public: false, ..route };
            configuration::Configuration::new(version).with_route(route)
        };
        let team = configuration::Team { name: "t".to_owned(), tier: 0, homes: Default::default() };
        for turn in 0..4 {
            let listed = with_route(turn).with_team(team.clone(), ["secret".to_owned()]);
            state.set_configuration(listed);
            state.freshness.borrow_mut().record_confirmation(state.clock.now());
            let remove = async {
                time::sleep(Duration::from_millis(100)).await;
                state.set_configuration(with_route(turn).with_required_keys());
            };
            let request = call(address, "/keyed/a", "x-key: secret\r\n");
            let (response, ()) = futures::future::join(request, remove).await;
            expect_that!(status(&response), eq("200"));
        }
        let counted = state.usage_counts.borrow().newest(4).map(|(.., count)| count).sum::<u64>();
        expect_that!(counted, eq(4));
    });
}

#[gtest]
fn invalid_key_gets_401_only_after_the_configuration_is_confirmed() {
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (state, address) = gateway(&[&backend]).await;
        let confirmed_at = state.clock.now() - Duration::from_secs(4);
        let make_stale = |state: &state::State| {
            let mut freshness = freshness::Freshness::new(Duration::from_secs(5));
            freshness.record_confirmation(confirmed_at);
            *state.freshness.borrow_mut() = freshness;
        };
        make_stale(&state);
        expect_that!(status(&call(address, "/keyed/a", "x-key: wrong\r\n").await), eq("503"));
        let confirming = state.clone();
        actix_rt::spawn(async move {
            confirming.refresh_requested.notified().await;
            confirming.freshness.borrow_mut().record_confirmation(confirming.clock.now());
            confirming.refresh_finished.notify_waiters();
        });
        make_stale(&state);
        expect_that!(status(&call(address, "/keyed/a", "x-key: wrong\r\n").await), eq("401"));
    });
}

#[gtest]
fn late_long_prompt_ranks_above_lower_tiers() {
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (_, address) = gateway(&[&backend]).await;
        let long_prompt = "x-tokens: 100000\r\n";
        for (path, headers) in [
            ("/urgent/a", ""),
            ("/urgent/a", long_prompt),
            ("/again/a", ""),
            ("/again/a", long_prompt),
        ] {
            call(address, path, headers).await;
        }
        let requests = backend.requests.borrow();
        let rank = |head: &String| {
            head.lines().find_map(|line| line.strip_prefix("x-rank: ")?.parse::<u8>().ok())
        };
        let ranks: Vec<_> = requests.iter().filter_map(rank).collect();
        expect_that!(ranks, elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]);
    });
}

/// A backend server that sends its previous response a second time when the next request arrives on
/// the same connection, and then the response to that request.
async fn repeating_backend() -> Backend {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let requests = rc::Rc::new(cell::RefCell::new(Vec::new()));
    let received = requests.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let received = received.clone();
            actix_rt::spawn(async move {
                let mut previous = String::new();
                while let Some(head) = read_head(&mut stream).await {
                    let id = head.lines().find_map(|line| line.strip_prefix("x-id: "));
                    let id = id.unwrap_or_default().to_owned();
                    let response = format!(
                        "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: {}\r\n\r\nfor {id}",
                        id.len() + 4
                    );
                    received.borrow_mut().push(head);
                    let bytes = previous + &response;
                    if stream.write_all(bytes.as_bytes()).await.is_err() {
                        return;
                    }
                    previous = response;
                }
            });
        }
    });
    Backend { address, requests, disconnects: rc::Rc::default() }
}

#[gtest]
fn late_second_copy_of_a_response_does_not_reach_the_next_caller() {
    run(async {
        let backend = repeating_backend().await;
        let (_, address) = gateway(&[&backend]).await;
        for (path, request) in ["/once/a", "/again/a"].iter().cycle().take(8).zip(10..) {
            let mut stream = tokio_net::TcpStream::connect(address).await.expect("a connection");
            let head = format!("GET {path} HTTP/1.1\r\nhost: h\r\nx-id: {request}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.expect("a request");
            let mut bytes = [0; 4096];
            let reading = time::timeout(Duration::from_millis(900), stream.read(&mut bytes));
            let count = reading.await.expect("a response in time").expect("a response");
            let response = String::from_utf8_lossy(&bytes[..count]).into_owned();
            if status(&response) == "200" {
                expect_that!(response, ends_with(format!("for {request}")));
            } else {
                expect_that!(status(&response), eq("502"));
            }
        }
    });
}
