//! Streams through a gateway, before backend servers that misbehave.

mod support;

use std::cell;
use std::rc;

use azuregap_gateway::directory;
use azuregap_gateway::state;
use googletest::prelude::*;
use support::loopback::*;

#[gtest]
fn an_answer_that_breaks_off_is_never_whole() {
    for text in [
        "HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 9\r\n\r\nhello".to_owned(),
        format!("{STREAM_HEAD}{}", chunk("hello")),
    ] {
        run(async {
            let backend = backend(vec![closes(text)]).await;
            let (_, address) = gateway(&[&backend]).await;
            expect_that!(status(&call(address, "/once/a", "").await), eq("502"));
        });
    }
}

#[gtest]
fn events_are_relayed_and_the_stream_ends_whole() {
    run(async {
        let events = chunk("id: 1\ndata: a\n\nid: 2\nda") + &chunk("ta: b\n\n") + "0\r\n\r\n";
        let backend = backend(vec![keeps(format!("{STREAM_HEAD}{events}"))]).await;
        let (_, address) = gateway(&[&backend]).await;
        let answer = call(address, "/stream/a", "").await;
        expect_that!(answer, contains_substring("id: 1\ndata: a\n\n"));
        expect_that!(answer, contains_substring("id: 2\ndata: b\n\n"));
        expect_that!(answer, ends_with("0\r\n\r\n"));
    });
}

#[gtest]
fn a_stream_that_breaks_off_ends_visibly() {
    run(async {
        let events = chunk("id: 1\ndata: a\n\nid: 2\nda");
        let backend = backend(vec![closes(format!("{STREAM_HEAD}{events}"))]).await;
        let (_, address) = gateway(&[&backend]).await;
        let answer = call(address, "/stream/a", "").await;
        expect_that!(answer, contains_substring("id: 1\ndata: a\n\n"));
        expect_that!(answer, not(contains_substring("id: 2")));
        expect_that!(answer, not(contains_substring("0\r\n\r\n")));
        expect_that!(answer, ends_with("<closed>"));
    });
}

#[gtest]
fn a_resumable_stream_goes_on_at_another_backend_server() {
    run(async {
        let cut = closes(format!("{STREAM_HEAD}{}", chunk("id: 1\ndata: a\n\nid: 2\nda")));
        let rest = chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
        let rest = keeps(format!("{STREAM_HEAD}{rest}"));
        // Whichever comes first breaks off; the other one goes on.
        let heads = rc::Rc::new(cell::RefCell::new(Vec::new()));
        let first = backend(vec![cut.clone()]).await;
        let (state, address) = gateway(&[&first]).await;
        let second = backend(vec![rest]).await;
        let seen = heads.clone();
        let (late, other) = (state.clone(), second.address);
        actix_rt::spawn(async move {
            seen.borrow_mut().push(());
            late.directory.borrow_mut().update(directory::Backend {
                id: "b-9".to_owned(),
                started_ms: 1,
                service: "s".to_owned(),
                address: other,
                zone: "far".to_owned(),
                slots: 4,
                draining: false,
            });
        });
        let answer = call(address, "/resume/a", "").await;
        expect_that!(answer, contains_substring("id: 2\ndata: b\n\n"));
        expect_that!(answer, ends_with("0\r\n\r\n"));
        if !first.heads.borrow().is_empty() {
            expect_that!(second.heads.borrow()[0], contains_substring("x-last-event: 1\r\n"));
        }
    });
}

#[gtest]
fn while_stopping_new_requests_are_served_and_then_refused_with_a_promise() {
    run(async {
        let backend = backend(vec![keeps(WHOLE)]).await;
        let (state, address) = gateway(&[&backend]).await;
        state.stopping.send_replace(true);
        let answer = call(address, "/once/a", "").await;
        expect_that!(status(&answer), eq("200"));
        expect_that!(answer, contains_substring("connection: close\r\n"));
        state.phase.set(state::Phase::Finishing);
        expect_that!(status(&call(address, "/once/a", "").await), eq("200"));
        expect_that!(status(&call(address, "/stream/a", "").await), eq("503"));
        state.phase.set(state::Phase::Ending);
        let answer = call(address, "/once/a", "").await;
        expect_that!(status(&answer), eq("503"));
        expect_that!(answer, contains_substring("retry-after: "));
        expect_that!(backend.heads.borrow().len(), eq(2));
    });
}
