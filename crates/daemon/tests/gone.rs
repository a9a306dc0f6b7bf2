//! A caller goes away.

mod support;

use azuregap_standins::engine;
use googletest::prelude::*;

use support::Cluster;
use support::Shape;

#[gtest]
#[actix_rt::test]
async fn a_caller_that_goes_away_frees_its_slot_and_cancels_the_engine() -> Result<()> {
    let settings = engine::Settings::new().slots(1);
    let shape = Shape { plains: 0, settings, ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    for i in 0..3 {
        let before = cluster.engines[0].counters();
        let reply = cluster.caller(0).chat_until(&format!("gone {i}"), 100_000, 2000).await;
        verify_that!((reply.status, reply.ended), eq((200, false)))?;
        support::eventually("the engine's run is cancelled", async || {
            cluster.engines[0].counters().cancelled > before.cancelled
        })
        .await;
        let next = cluster.caller(0).chat("next", 5).await;
        verify_that!(next.body, eq(&support::answer("next", 5)))?;
    }
    verify_that!(cluster.engines[0].load().running, eq(0))
}

#[gtest]
#[actix_rt::test]
async fn a_waiting_caller_that_goes_away_never_runs() -> Result<()> {
    let settings = engine::Settings::new().slots(1);
    let shape = Shape { plains: 0, settings, ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    let caller = cluster.caller(0);
    let waiting = async {
        let short = std::time::Duration::from_millis(300);
        let calls = (0..20).map(|i| {
            let caller = cluster.caller(0);
            async move { caller.chat(&format!("waiting {i}"), 300).await }
        });
        tokio::time::timeout(short, futures::future::join_all(calls)).await.is_err()
    };
    let (first, gone) = futures::join!(caller.chat("first", 100), waiting);
    verify_that!(gone, eq(true))?;
    verify_that!(first.body, eq(&support::answer("first", 100)))?;
    support::eventually("nothing waits or runs", async || {
        let load = cluster.engines[0].load();
        load.running + load.waiting == 0
    })
    .await;
    let next = cluster.caller(0).chat("next", 5).await;
    verify_that!(next.body, eq(&support::answer("next", 5)))
}
