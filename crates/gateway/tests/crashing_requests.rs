//! Requests that come again with the same path, caller and body, and crash each backend server that
//! runs them.

mod support;

use std::time::Duration;

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
            let response = call(address, &format!("{path}deadly"), headers).await;
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
