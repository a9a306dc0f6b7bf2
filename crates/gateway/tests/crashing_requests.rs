//! Requests that come again with the same path, caller and body, and crash each backend server that
//! runs them.

mod support;

use std::time::Duration;

use azuregap_gateway::directory;
use googletest::prelude::*;
use support::fragile;
use support::loopback::*;
use tokio::time;

/// Crashes after which a request is known to be their cause, and sends that may follow, by all
/// gateways and for ever.
const MAX_DELIVERIES: usize = 3 + 3;

/// How often the backend servers are back; callers send the request twice each time.
const ROUNDS: usize = 6;

/// What callers saw of a request that crashes backend servers, and of sound ones beside it.
struct Outcome {
    deliveries: usize,
    refusals: usize,
    last_sound: String,
}

async fn fragile_backends(on_deadly: fragile::OnDeadly, deadly: &fragile::Deadly) -> Vec<Backend> {
    let mut backends = Vec::new();
    for _ in 0..3 {
        backends.push(fragile::backend(on_deadly, deadly).await);
    }
    backends
}

/// Sends the deadly request again each time the backend servers are back.
async fn send_again(path: &str, headers: &str, on_deadly: fragile::OnDeadly) -> Outcome {
    upload_again(path, headers, "", on_deadly).await
}

/// Sends the deadly request with a body again each time the backend servers are back.
async fn upload_again(
    path: &str,
    headers: &str,
    body: &str,
    on_deadly: fragile::OnDeadly,
) -> Outcome {
    let deadly = fragile::Deadly::new("/deadly");
    let backends = fragile_backends(on_deadly, &deadly).await;
    let backends: Vec<_> = backends.iter().collect();
    let headers = &format!("connection: close\r\n{headers}");
    let (state, address) = gateway(&backends).await;
    let mut refusals = 0;
    for round in 0..ROUNDS {
        register(&state, &backends, 1 + round as u64);
        state.freshness.borrow_mut().record_confirmation(state.clock.now());
        for _ in 0..2 {
            let path = format!("{path}deadly");
            let response = if body.is_empty() {
                call(address, &path, headers).await
            } else {
                upload(address, &path, headers, body).await
            };
            refusals += usize::from(status(&response) == "503");
        }
        time::sleep(fragile::DOWN_TIME + Duration::from_millis(100)).await;
    }
    let last_sound = call(address, &format!("{path}sound"), headers).await;
    Outcome { deliveries: deadly.count.get(), refusals, last_sound }
}

#[gtest]
fn a_request_that_has_crashed_three_backend_servers_is_not_sent_again_and_again() {
    use fragile::OnDeadly;
    let table = [
        ("once-only", "/once/", "", OnDeadly::Crash),
        ("idempotent", "/again/", "", OnDeadly::Crash),
        ("with a key", "/keyed/", "x-key: secret\r\n", OnDeadly::Crash),
        ("stream without shared segments", "/stream/", "x-segments: 9:10\r\n", OnDeadly::Crash),
        ("stream that may be resumed", "/resume/", "x-segments: 1:500,9:10\r\n", OnDeadly::Crash),
        ("connections end before the port", "/once/", "", OnDeadly::CrashLater),
    ];
    for (name, path, headers, on_deadly) in table {
        run(async {
            let outcome = send_again(path, headers, on_deadly).await;
            expect_that!(outcome.deliveries, le(MAX_DELIVERIES), "{name}");
            expect_that!(outcome.refusals, ge(2 * ROUNDS - MAX_DELIVERIES), "{name}");
            expect_that!(status(&outcome.last_sound), eq("200"), "{name}");
        });
    }
}

#[gtest]
fn a_request_that_has_crashed_backend_servers_leaves_the_last_one_of_the_service_to_others() {
    for (path, crashes) in [("/again/", 2), ("/once/", 2)] {
        run(async {
            let deadly = fragile::Deadly::new("/deadly");
            let backends = fragile_backends(fragile::OnDeadly::Crash, &deadly).await;
            let (_, address) = gateway(&backends.iter().collect::<Vec<_>>()).await;
            let headers = "connection: close\r\n";
            let mut last = String::new();
            for _ in 0..3 {
                last = call(address, &format!("{path}deadly"), headers).await;
            }
            expect_that!(status(&last), eq("503"), "{path}");
            expect_that!(deadly.count.get(), eq(crashes), "{path}");
            let sound = call(address, &format!("{path}sound"), headers).await;
            expect_that!(status(&sound), eq("200"), "{path}");
        });
    }
}

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 9\r\n\r\nhello";
const IN_CHUNKS: &str =
    "HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nhello";
const EVENT_IN_CHUNKS: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n\
    14\r\nid: 1\ndata: a\n\nid: 2\r\n";
const EVENT_UNFRAMED: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nid: 1\ndata: a\n\nid: 2\nda";
const NO_EVENT_UNFRAMED: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nid: 1\nda";

#[gtest]
fn a_request_that_crashes_backend_servers_after_the_head_is_not_sent_again_and_again() {
    // Guards against crashes that weren't counted, since the head of the response had come: such a
    // request was sent for as long as it came, and each time took all that ran there with it.
    use fragile::OnDeadly::CrashAfter;
    use fragile::Partial;
    let upload = "a".repeat(1 << 20);
    let table = [
        ("body with a length", "/once/", "", Partial::closed(WITH_LENGTH)),
        ("body with a length, reset", "/again/", "", Partial::reset(WITH_LENGTH)),
        ("body in chunks", "/again/", "", Partial::closed(IN_CHUNKS)),
        ("body without framing", "/again/", "", Partial::reset(UNFRAMED)),
        ("event in chunks", "/stream/", "", Partial::closed(EVENT_IN_CHUNKS)),
        ("event in chunks, resumed", "/resume/", "", Partial::reset(EVENT_IN_CHUNKS)),
        ("event without framing", "/stream/", "", Partial::closed(EVENT_UNFRAMED)),
        ("event without framing, resumed", "/resume/", "", Partial::closed(EVENT_UNFRAMED)),
        ("first event without framing", "/resume/", "", Partial::closed(NO_EVENT_UNFRAMED)),
        ("upload, no answer", "/once/", &upload, Partial::reset("")),
        ("upload, answer with a length", "/again/", &upload, Partial::closed(WITH_LENGTH)),
        ("upload, answer in chunks", "/once/", &upload, Partial::reset(IN_CHUNKS)),
        ("upload, answer without framing", "/again/", &upload, Partial::reset(UNFRAMED)),
    ];
    for (name, path, body, partial) in table {
        run(async {
            let outcome = upload_again(path, "", body, CrashAfter(partial)).await;
            expect_that!(outcome.deliveries, le(MAX_DELIVERIES), "{name}");
            expect_that!(outcome.refusals, ge(2 * ROUNDS - MAX_DELIVERIES), "{name}");
            expect_that!(status(&outcome.last_sound), eq("200"), "{name}");
        });
    }
}

/// What the entry of a backend server shows before it ends.
#[derive(Clone, Copy, Debug)]
enum Notice {
    Draining,
    Removed,
    Restarted,
    /// It lives on and loses connections only.
    Lives,
}

#[gtest]
fn requests_that_are_cut_as_a_backend_server_leaves_are_no_suspects_of_a_crash() {
    // Guards against sound requests that are kept from backend servers because several of these were
    // stopped, drained or replaced while they answered.
    for (notice, path, text) in [
        (Notice::Draining, "/once/", WITH_LENGTH),
        (Notice::Draining, "/stream/", EVENT_UNFRAMED),
        (Notice::Removed, "/once/", IN_CHUNKS),
        (Notice::Removed, "/once/", ""),
        (Notice::Restarted, "/once/", UNFRAMED),
        (Notice::Restarted, "/stream/", EVENT_IN_CHUNKS),
        (Notice::Lives, "/once/", WITH_LENGTH),
        (Notice::Lives, "/stream/", EVENT_UNFRAMED),
    ] {
        run(async {
            let partial = fragile::Partial { text, resets: true, delay: Duration::from_millis(60) };
            let on_deadly = match notice {
                Notice::Lives => fragile::OnDeadly::CloseAfter(partial),
                _ => fragile::OnDeadly::CrashAfter(partial),
            };
            let deadly = fragile::Deadly::new("/deadly");
            let backend = fragile::backend(on_deadly, &deadly).await;
            let (state, address) = gateway(&[&backend]).await;
            for round in 0..ROUNDS as u64 {
                register(&state, &[&backend], 1 + 2 * round);
                state.freshness.borrow_mut().record_confirmation(state.clock.now());
                let leave = async {
                    time::sleep(Duration::from_millis(30)).await;
                    let mut directory = state.directory.borrow_mut();
                    let entry = directory.get("b-0").map(|server| server.backend.clone());
                    let entry = entry.expect("an entry");
                    let started_ms = 2 + 2 * round;
                    match notice {
                        Notice::Draining => {
                            directory.update(directory::Backend { draining: true, ..entry })
                        }
                        Notice::Removed => directory.remove("b-0"),
                        Notice::Restarted => {
                            directory.update(directory::Backend { started_ms, ..entry })
                        }
                        Notice::Lives => directory::Change::None,
                    };
                };
                let path = format!("{path}deadly");
                futures::join!(call(address, &path, "connection: close\r\n"), leave);
                time::sleep(fragile::DOWN_TIME).await;
            }
            expect_that!(deadly.count.get(), eq(ROUNDS), "{notice:?}");
            expect_that!(state.metrics.lost_prompts.get(), eq(0), "{notice:?}");
        });
    }
}
