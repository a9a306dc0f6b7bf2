//! Requests through a gateway, before backend servers that misbehave.

mod support;

use std::cell;
use std::rc;
use std::time::Duration;

use azuregap_gateway::decision::freshness;
use azuregap_gateway::state;
use googletest::prelude::*;
use support::loopback::*;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;
use tokio::time;

#[gtest]
fn an_answer_is_relayed_unchanged_and_the_connection_kept() {
    run(async {
        let backend = backend(vec![keeps(WHOLE)]).await;
        let (state, address) = gateway(&[&backend]).await;
        for _ in 0..2 {
            let answer = call(address, "/once/a?b=%20c", "").await;
            expect_that!(answer, ends_with("\r\n\r\nhello"));
        }
        expect_that!(backend.heads.borrow()[0], starts_with("GET /once/a?b=%20c HTTP/1.1\r\n"));
        expect_that!(state.metrics.connections.get(), eq(1));
    });
}

#[gtest]
fn a_request_that_may_run_once_is_sent_once_when_its_answer_is_lost() {
    run(async {
        let (first, second) = (backend(vec![closes("")]).await, backend(vec![closes("")]).await);
        let (_, address) = gateway(&[&first, &second]).await;
        let answer = call(address, "/once/a", "").await;
        expect_that!(status(&answer), eq("502"));
        expect_that!(first.heads.borrow().len() + second.heads.borrow().len(), eq(1));
    });
}

#[gtest]
fn an_idempotent_request_is_sent_again_when_its_answer_is_lost() {
    run(async {
        let (first, second) = (backend(vec![closes("")]).await, backend(vec![closes("")]).await);
        let (_, address) = gateway(&[&first, &second]).await;
        let answer = call(address, "/again/a", "").await;
        expect_that!(status(&answer), eq("502"));
        expect_that!(first.heads.borrow().len() + second.heads.borrow().len(), eq(2));
    });
}

#[gtest]
fn a_request_that_nobody_ran_is_refused_with_a_time_to_come_back() {
    run(async {
        let full = "HTTP/1.1 503 Full\r\nx-id: 1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        let backend = backend(vec![keeps(full)]).await;
        let (_, address) = gateway(&[&backend]).await;
        let answer = call(address, "/once/a", "").await;
        expect_that!(status(&answer), eq("503"));
        expect_that!(answer, contains_substring("retry-after: "));
    });
}

/// A backend server that forgets a connection after its first request, without a notice.
async fn forgetful_backend() -> Backend {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let heads = rc::Rc::new(cell::RefCell::new(Vec::new()));
    let seen = heads.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let seen = seen.clone();
            actix_rt::spawn(async move {
                let Some(head) = read_head(&mut stream).await else { return };
                seen.borrow_mut().push(head);
                stream.write_all(WHOLE.as_bytes()).await.expect("the answer is written");
                // The rest of the next request is not read, so that the end of this task resets.
                let _first_byte = stream.read_u8().await;
            });
        }
    });
    Backend { address, heads, left: rc::Rc::default() }
}

#[gtest]
fn after_a_loss_on_a_rested_connection_requests_go_on_fresh_ones() {
    run(async {
        let backend = forgetful_backend().await;
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
fn an_answer_of_another_request_reaches_nobody() {
    run(async {
        let other = "HTTP/1.1 200 OK\r\nx-id: 2\r\ncontent-length: 5\r\n\r\nother";
        let backend = backend(vec![keeps(other)]).await;
        let (state, address) = gateway(&[&backend]).await;
        let answer = call(address, "/once/a", "").await;
        expect_that!(status(&answer), eq("502"));
        expect_that!(answer, not(contains_substring("other")));
        expect_that!(state.pool.idle(backend.address), eq(0));
    });
}

#[gtest]
fn a_success_that_is_not_signed_reaches_nobody() {
    run(async {
        let text = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-unsigned: 1\r\ncontent-length: 5\r\n\r\nother";
        let backend = backend(vec![keeps(text)]).await;
        let (_, address) = gateway(&[&backend]).await;
        expect_that!(status(&call(address, "/once/a", "").await), eq("502"));
    });
}

#[gtest]
fn an_extra_answer_does_not_reach_the_next_request() {
    run(async {
        let twice = format!("{WHOLE}HTTP/1.1 200 OK\r\nx-id: 9\r\ncontent-length: 5\r\n\r\nother");
        let backend = backend(vec![keeps(twice), keeps(WHOLE)]).await;
        let (_, address) = gateway(&[&backend]).await;
        expect_that!(call(address, "/once/a", "").await, ends_with("hello"));
        expect_that!(call(address, "/once/a", "").await, ends_with("hello"));
    });
}

#[gtest]
fn a_caller_that_leaves_frees_the_backend_server() {
    run(async {
        let slow = Answer { after: Duration::from_secs(5), ..keeps(WHOLE) };
        let backend = backend(vec![slow]).await;
        let (state, address) = gateway(&[&backend]).await;
        let mut stream = tokio_net::TcpStream::connect(address).await.expect("a connection");
        let head = b"GET /again/a HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n\r\n";
        stream.write_all(head).await.expect("a request");
        time::sleep(Duration::from_millis(100)).await;
        expect_that!(state.active.get(), eq(1));
        drop(stream);
        time::sleep(Duration::from_millis(100)).await;
        expect_that!(backend.left.get(), eq(1));
        expect_that!(state.active.get(), eq(0));
        expect_that!(
            state.directory.borrow().get("b-0").map(|b| b.own_load.total().in_flight),
            some(eq(0))
        );
    });
}

#[gtest]
fn each_request_is_counted_at_its_end_also_if_its_caller_leaves_before_the_answer() {
    run(async {
        let slow = Answer { after: Duration::from_secs(5), ..keeps(WHOLE) };
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
fn the_callers_deadline_ends_a_request() {
    run(async {
        let slow = Answer { after: Duration::from_secs(5), ..keeps(WHOLE) };
        let backend = backend(vec![slow]).await;
        let (_, address) = gateway(&[&backend]).await;
        let started = time::Instant::now();
        let answer = call(address, "/again/a", "x-patience-ms: 150\r\n").await;
        expect_that!(status(&answer), eq("504"));
        expect_that!(started.elapsed().as_millis(), le(1_600));
        expect_that!(backend.left.get(), eq(1));
    });
}

#[gtest]
fn keys_decide_and_are_not_passed_on() {
    run(async {
        let backend = backend(vec![keeps(WHOLE)]).await;
        let (state, address) = gateway(&[&backend]).await;
        expect_that!(status(&call(address, "/keyed/a", "").await), eq("401"));
        expect_that!(status(&call(address, "/keyed/a", "x-key: wrong\r\n").await), eq("401"));
        expect_that!(status(&call(address, "/keyed/a", "x-key: secret\r\n").await), eq("200"));
        expect_that!(backend.heads.borrow()[0], not(contains_substring("secret")));
        expect_that!(status(&call(address, "/nowhere/a", "").await), eq("404"));
        expect_that!(state.windows.borrow().newest(1).map(|(_, _, n)| n).sum::<u64>(), eq(1));
    });
}

#[gtest]
fn a_key_is_denied_for_good_only_once_the_store_has_confirmed_it() {
    run(async {
        let backend = backend(vec![keeps(WHOLE)]).await;
        let (state, address) = gateway(&[&backend]).await;
        let old = state.clock.now() - Duration::from_secs(4);
        let made_old = |state: &state::State| {
            let mut freshness = freshness::Freshness::new(Duration::from_secs(5));
            freshness.record_confirmation(old);
            *state.freshness.borrow_mut() = freshness;
        };
        made_old(&state);
        expect_that!(status(&call(address, "/keyed/a", "x-key: wrong\r\n").await), eq("503"));
        let answering = state.clone();
        actix_rt::spawn(async move {
            answering.doubted.notified().await;
            answering.freshness.borrow_mut().record_confirmation(answering.clock.now());
            answering.confirmed.notify_waiters();
        });
        made_old(&state);
        expect_that!(status(&call(address, "/keyed/a", "x-key: wrong\r\n").await), eq("401"));
    });
}

#[gtest]
fn a_long_prompt_that_comes_too_late_stays_ahead_of_lower_tiers() {
    run(async {
        let backend = backend(vec![keeps(WHOLE)]).await;
        let (_, address) = gateway(&[&backend]).await;
        let late = "x-tokens: 100000\r\n";
        for (path, headers) in
            [("/urgent/a", ""), ("/urgent/a", late), ("/again/a", ""), ("/again/a", late)]
        {
            call(address, path, headers).await;
        }
        let heads = backend.heads.borrow();
        let rank = |head: &String| {
            head.lines().find_map(|line| line.strip_prefix("x-rank: ")?.parse::<u8>().ok())
        };
        let ranks: Vec<_> = heads.iter().filter_map(rank).collect();
        expect_that!(ranks, elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]);
    });
}
