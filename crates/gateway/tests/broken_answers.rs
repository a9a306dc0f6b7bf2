//! Answers of backend servers that are cut, or whose status is none of an answer: callers never get
//! them as whole ones.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use support::fragile;
use support::loopback::*;

const PATHS: [&str; 4] = ["/once/deadly", "/again/deadly", "/stream/deadly", "/resume/deadly"];

/// Sends a request or uploads a body to a backend server that sends a part of an answer.
async fn exchange(path: &str, body: &str, partial: fragile::Partial) -> String {
    let deadly = fragile::Deadly::new("/deadly");
    let backend = fragile::backend(fragile::OnDeadly::CloseAfter(partial), &deadly).await;
    let (_, address) = gateway(&[&backend]).await;
    let headers = "connection: close\r\n";
    let response = if body.is_empty() {
        call(address, path, headers).await
    } else {
        upload(address, path, headers, body).await
    };
    expect_that!(deadly.count.get(), ge(1), "{path} reached the backend server");
    response
}

#[gtest]
fn an_early_answer_that_is_cut_while_the_body_is_uploaded_does_not_look_whole() {
    // Guards against a part of an answer that a caller gets as a whole one, since the connection was
    // reset while the upload was still being written.
    let body = "a".repeat(3 << 20);
    let answers = [
        "HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 9\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
    ];
    for text in answers {
        for (resets, delay_ms) in [(true, 0), (true, 50), (false, 0), (false, 50)] {
            let delay = Duration::from_millis(delay_ms);
            let partial = fragile::Partial { text, resets, delay };
            for path in PATHS {
                run(async {
                    let response = exchange(path, &body, partial).await;
                    expect_that!(status(&response), eq("502"), "{path}, {partial:?}");
                });
            }
        }
    }
}

#[gtest]
fn a_head_that_is_cut_is_no_answer() {
    // Guards against an empty answer that a caller gets as a whole one, since the backend server
    // stopped in the middle of its head.
    let heads = [
        "HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-type: text/plain\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-id: 1\r\n\r\n",
    ];
    for head in heads {
        // Without its last byte a head is not complete.
        for end in (1..head.len()).step_by(5).chain([head.len() - 1]) {
            for resets in [false, true] {
                let partial =
                    fragile::Partial { text: &head[..end], resets, delay: Duration::ZERO };
                for path in PATHS {
                    run(async {
                        let response = exchange(path, "", partial).await;
                        expect_that!(status(&response), eq("502"), "{path}, {partial:?}");
                    });
                }
            }
        }
    }
}

#[gtest]
fn a_status_that_no_final_answer_has_does_not_reach_callers() {
    // Guards against 101, 600, 700 and 999, which callers got as whole answers from all routes.
    let statuses = [
        "000", "001", "099", "100", "101", "102", "103", "199", "600", "700", "999", "20", "2000",
        "+20", "-20", "2 0", "",
    ];
    for line in statuses {
        for path in PATHS {
            run(async {
                let head = format!("HTTP/1.1 {line} OK\r\nx-id: 1\r\ncontent-length: 5\r\n\r\n");
                let broken = backend(vec![close_after(head + "hello")]).await;
                let (_, address) = gateway(&[&broken]).await;
                let response = call(address, path, "connection: close\r\n").await;
                expect_that!(status(&response), eq("502"), "{path}, status {line}: {response}");
                expect_that!(response, not(contains_substring("hello")), "{path}, status {line}");
            });
        }
    }
}

#[gtest]
fn all_statuses_that_a_final_answer_may_have_reach_callers() {
    for code in [200, 204, 302, 304, 400, 404, 409, 418, 429, 451, 500, 599] {
        run(async {
            let head = format!("HTTP/1.1 {code} Any\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n");
            let sound = backend(vec![close_after(head)]).await;
            let (_, address) = gateway(&[&sound]).await;
            let response = call(address, "/once/a", "connection: close\r\n").await;
            expect_that!(status(&response), eq(code.to_string().as_str()));
        });
    }
}
