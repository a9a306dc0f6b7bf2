//! The operator removes the tenants one after the other; a client goes on with the key of the last one.
//! The check: no request with a key that was taken away runs later than `RevokeMs` after that was
//! acknowledged, and none with a key that no configuration held.

mod world;

use std::env;
use std::path::Path;
use std::process;
use std::thread;
use std::time::{Duration, Instant};

/// `RevokeMs`.
const REVOKE: Duration = Duration::from_secs(5);

/// How long the clients go on after the change.
const SPAN: Duration = Duration::from_secs(20);

/// A key that no configuration ever held.
const STRANGE_KEY: &str = "wsjnbanfqasnmgkcuyj8";

fn main() {
    process::exit(run(&env::args().nth(1).expect("the folder of the case")));
}

/// Sends a request with a key; returns its status.
fn send(deployment: &world::Deployment, key: &str) -> (String, u16) {
    let id = world::new_id();
    let bytes = world::request_head("POST", "/lodge/1", key, &id, 3) + "abc";
    let answer =
        world::exchange(deployment.gateway.front, bytes.as_bytes(), Duration::from_secs(4));
    let status = answer.map_or(0, |answer| answer.status());
    deployment.record.write(format!("client: POST /lodge/1 as {id} with key {key}: {status}"));
    (id, status)
}

fn run(folder: &str) -> i32 {
    let respond = world::plain_answer();
    let deployment = world::Deployment::start(Path::new(folder), respond);
    let Some(deployment) = deployment else { return 2 };
    let record = deployment.record.clone();
    let (known, strange) = (send(&deployment, "key").1, send(&deployment, STRANGE_KEY).1);
    record.say(format!("before: {known} with a key, {strange} with one that was never given"));
    if (known, strange) != (200, 401) {
        return 2;
    }
    // Without trouble the tenant stays and loses its keys.
    let tenants = if world::has_trouble() { "[]" } else { r#"[{"Name":"huka270","ApiKeys":[]}]"# };
    deployment.store.put("op", "config", Some(&world::configuration(2, tenants)));
    let acknowledged = Instant::now();
    record.write(format!("operator: version 2 is acknowledged, with \"Tenants\":{tenants}"));
    let (mut revoked, mut unknown, mut sent) = (0, 0, 0);
    while acknowledged.elapsed() < REVOKE + SPAN {
        let is_late = acknowledged.elapsed() > REVOKE;
        for key in ["key", STRANGE_KEY] {
            let before = deployment.runs();
            let _ = send(&deployment, key);
            let has_run = deployment.runs() > before;
            sent += usize::from(is_late);
            // The strange key counts from the beginning, since no configuration ever allowed it.
            revoked += usize::from(has_run && key != STRANGE_KEY && is_late);
            unknown += usize::from(has_run && key == STRANGE_KEY);
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.say(format!(
        "later than RevokeMs after it: {revoked} requests with the key that was taken away ran, of {} \
         sent; with the key that was never given {unknown} ran",
        sent / 2
    ));
    let is_broken = revoked + unknown > 0;
    record.say(if is_broken { "broken: requests ran without a valid key" } else { "held" });
    i32::from(is_broken)
}
