//! A caller disconnects before its response is complete.

mod support;

use azuregap_standins::engine;
use googletest::prelude::*;

use support::Cluster;
use support::ClusterOptions;

#[gtest]
#[actix_rt::test]
async fn disconnect_during_a_response_frees_the_slot_and_cancels_the_engine_run() -> Result<()> {
    let settings = engine::Settings::new().slots(1);
    let options = ClusterOptions { plains: 0, settings, ..ClusterOptions::default() };
    let cluster = Cluster::start(options).await;
    for i in 0..3 {
        let before = cluster.engines[0].counters();
        let reply = cluster.caller(0).chat_until(&format!("gone {i}"), 100_000, 2000).await;
        verify_that!((reply.status, reply.ended), eq((200, false)))?;
        support::eventually("the engine's run is cancelled", async || {
            cluster.engines[0].counters().cancelled > before.cancelled
        })
        .await;
        let next = cluster.caller(0).chat("next", 5).await;
        verify_that!(next.body, eq(&support::expected_stream("next", 5)))?;
    }
    verify_that!(cluster.engines[0].load().running, eq(0))
}

#[gtest]
#[actix_rt::test]
async fn queued_requests_of_disconnected_callers_do_not_run() -> Result<()> {
    let settings = engine::Settings::new().slots(1);
    let options = ClusterOptions { plains: 0, settings, ..ClusterOptions::default() };
    let cluster = Cluster::start(options).await;
    let caller = cluster.caller(0);
    let waiting = async {
        let short = std::time::Duration::from_millis(300);
        let calls = (0..20).map(|i| {
            let caller = cluster.caller(0);
            async move { caller.chat(&format!("waiting {i}"), 300).await }
        });
        tokio::time::timeout(short, futures::future::join_all(calls)).await.is_err()
    };
    let (first, timed_out) = futures::join!(caller.chat("first", 100), waiting);
    verify_that!(timed_out, eq(true))?;
    verify_that!(first.body, eq(&support::expected_stream("first", 100)))?;
    support::eventually("nothing waits or runs", async || {
        let load = cluster.engines[0].load();
        load.running + load.waiting == 0
    })
    .await;
    let next = cluster.caller(0).chat("next", 5).await;
    verify_that!(next.body, eq(&support::expected_stream("next", 5)))
}
