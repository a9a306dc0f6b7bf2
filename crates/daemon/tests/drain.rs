//! Drain of a backend server, and graceful stop of an entry and an agent.

mod support;

use std::time;

use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::json;

use support::Cluster;
use support::ClusterOptions;

/// Time after which a draining backend server must get no new requests.
const DRAIN_BOUND: time::Duration = time::Duration::from_secs(3);

#[gtest]
#[actix_rt::test]
async fn draining_backend_server_gets_no_new_requests_and_completes_running_ones() -> Result<()> {
    let options = ClusterOptions { plains: 0, engines: 2, entries: 2, ..ClusterOptions::default() };
    let mut cluster = Cluster::start(options).await;
    let callers = [cluster.caller(0), cluster.caller(1)];
    let mut intent = cluster.intent.clone();
    intent["leaving"] = json!(["engine-0"]);
    let long = (0..8).map(|i| {
        let caller = callers[i % 2].clone();
        async move {
            let prompt = format!("long {i}");
            caller.chat(&prompt, 500).await.body == support::expected_stream(&prompt, 500)
        }
    });
    let drain = async {
        tokio::time::sleep(time::Duration::from_millis(500)).await;
        cluster.apply_intent(intent).await;
        tokio::time::sleep(DRAIN_BOUND).await;
        let [drained, _] = [0, 1].map(|i| cluster.engines[i].counters());
        let later = (0..20).map(|i| {
            let caller = callers[i % 2].clone();
            async move { caller.chat(&format!("later {i}"), 3).await.appears_complete() }
        });
        let served = futures::future::join_all(later).await;
        (drained.started, served.iter().filter(|served| **served).count())
    };
    let (complete, (started, served)) = futures::join!(futures::future::join_all(long), drain);
    verify_that!(complete.iter().filter(|complete| **complete).count(), eq(8))?;
    verify_that!(served, eq(20))?;
    verify_that!(cluster.engines[0].counters().started, eq(started))
}

#[gtest]
#[actix_rt::test]
async fn stopping_entry_completes_its_streams_before_it_exits() -> Result<()> {
    let mut cluster =
        Cluster::start(ClusterOptions { plains: 0, ..ClusterOptions::default() }).await;
    let caller = cluster.caller(0);
    let stop = async {
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        cluster.entries[0].signal(Signal::SIGTERM);
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        caller.get("/readyz").await.status
    };
    let (reply, ready) = futures::join!(caller.chat("planned stop", 300), stop);
    verify_that!(ready, not(eq(200)))?;
    verify_that!(reply.body, eq(&support::expected_stream("planned stop", 300)))?;
    let entry = &mut cluster.entries[0];
    support::eventually("the entry exits", async || entry.exit_code().is_some()).await;
    verify_that!(entry.exit_code(), some(some(eq(0))))
}

#[gtest]
#[actix_rt::test]
async fn stopping_agent_completes_its_responses_before_it_exits() -> Result<()> {
    let mut cluster =
        Cluster::start(ClusterOptions { plains: 0, engines: 2, ..ClusterOptions::default() }).await;
    let callers = [cluster.caller(0), cluster.caller(0)];
    let agent = &mut cluster.engine_agents[0];
    let stop = async {
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        agent.signal(Signal::SIGTERM);
    };
    let [a, b] = [0, 1].map(|i| callers[i].chat(["stop a", "stop b"][i], 300));
    let (a, b, ()) = futures::join!(a, b, stop);
    verify_that!(a.body, eq(&support::expected_stream("stop a", 300)))?;
    verify_that!(b.body, eq(&support::expected_stream("stop b", 300)))?;
    support::eventually("the agent exits", async || agent.exit_code().is_some()).await;
    verify_that!(agent.exit_code(), some(some(eq(0))))
}
