//! Connections between entry and agent fall silent while new ones work.

mod support;

use std::time;

use azuregap_standins::plain;
use googletest::prelude::*;

use support::Cluster;
use support::Shape;

/// Tokens of one answer, at 10 ms each.
const TOKENS: u32 = 60;

fn after(milliseconds: u64) -> tokio::time::Sleep {
    tokio::time::sleep(time::Duration::from_millis(milliseconds))
}

fn silence_open(cluster: &Cluster) {
    cluster.detours.iter().for_each(|detour| detour.proxy.silence_open());
}

#[gtest]
#[actix_rt::test]
async fn an_answer_goes_on_over_a_new_connection_with_one_run() -> Result<()> {
    let shape = Shape { plains: 0, proxied: true, ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    for stage in [20, 100, 300, 550] {
        let before = cluster.engines[0].counters().started;
        let prompt = format!("silent at {stage}");
        let caller = cluster.caller(0);
        let silence = async {
            after(stage).await;
            silence_open(&cluster);
        };
        let (reply, ()) = futures::join!(caller.chat(&prompt, TOKENS), silence);
        verify_that!((reply.status, reply.ended), eq((200, true)))?;
        verify_that!(reply.body, eq(&support::answer(&prompt, TOKENS)))?;
        verify_that!(cluster.engines[0].counters().started - before, eq(1))?;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn an_answer_goes_on_when_silence_strikes_again_and_again() -> Result<()> {
    let shape = Shape { plains: 0, proxied: true, ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    let before = cluster.engines[0].counters().started;
    let caller = cluster.caller(0);
    let silence = async {
        for _ in 0..4 {
            after(700).await;
            silence_open(&cluster);
        }
    };
    let (reply, ()) = futures::join!(caller.chat("again and again", 500), silence);
    verify_that!((reply.status, reply.ended), eq((200, true)))?;
    verify_that!(reply.body, eq(&support::answer("again and again", 500)))?;
    verify_that!(cluster.engines[0].counters().started - before, eq(1))
}

#[gtest]
#[actix_rt::test]
async fn a_call_that_runs_once_gets_its_answer_and_runs_once() -> Result<()> {
    let shape = Shape { engines: 0, proxied: true, ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    let answer_delay = time::Duration::from_millis(800);
    cluster.plains[0].set_faults(plain::PlainFaults { answer_delay, ..Default::default() });
    for stage in [20, 300, 700] {
        let id = format!("silent-{stage}");
        let caller = cluster.caller(0);
        let silence = async {
            after(stage).await;
            silence_open(&cluster);
        };
        let (reply, ()) = futures::join!(caller.call("POST", "/credits", &id), silence);
        verify_that!((reply.status, reply.ended), eq((200, true)))?;
        verify_that!(cluster.runs(&id), eq(1))?;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn idle_connections_that_fell_silent_cost_no_caller_its_answer() -> Result<()> {
    let shape = Shape { plains: 2, proxied: true, ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    let cluster = &cluster;
    let calls = |round: usize| {
        (0..8).map(move |i| {
            let id = format!("idle-{round}-{i}");
            let caller = cluster.caller(0);
            async move { (caller.call("POST", "/credits", &id).await.status, id) }
        })
    };
    futures::future::join_all(calls(0)).await;
    silence_open(cluster);
    let called = futures::future::join_all(calls(1)).await;
    for (status, id) in called {
        verify_that!((status, cluster.runs(&id)), eq((200, 1))).with_failure_message(|| id)?;
    }
    let chat = cluster.caller(0).chat("idle", TOKENS).await;
    verify_that!(chat.body, eq(&support::answer("idle", TOKENS)))
}

#[gtest]
#[actix_rt::test]
async fn an_idle_connection_to_the_only_replica_that_fell_silent_is_replaced() -> Result<()> {
    let shape = Shape { proxied: true, ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    for i in 0..3 {
        silence_open(&cluster);
        let id = format!("only-{i}");
        let reply = cluster.caller(0).call("POST", "/credits", &id).await;
        verify_that!((reply.status, cluster.runs(&id)), eq((200, 1)))
            .with_failure_message(|| format!("{id}: {:?} {:?}", reply.code(), reply.not_run()))?;
        let chat = cluster.caller(0).chat(&id, 5).await;
        verify_that!(chat.body, eq(&support::answer(&id, 5)))?;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn a_total_silence_that_ends_gives_a_whole_answer_or_a_clear_error() -> Result<()> {
    let shape = Shape { proxied: true, ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    let silence = async {
        after(200).await;
        cluster.detours.iter().for_each(|detour| detour.proxy.silence_all(true));
        after(1500).await;
        cluster.detours.iter().for_each(|detour| detour.proxy.silence_all(false));
    };
    let before = cluster.engines[0].counters().started;
    let caller = cluster.caller(0);
    let once = async {
        after(150).await;
        cluster.caller(0).call("POST", "/credits", "total").await
    };
    let (chat, call, ()) = futures::join!(caller.chat("total", 200), once, silence);
    verify_that!(!chat.claims_whole() || chat.body == support::answer("total", 200), eq(true))?;
    verify_that!(cluster.engines[0].counters().started - before, le(1))?;
    verify_that!(cluster.runs("total"), le(1))?;
    verify_that!(call.not_run() == Some(true) && cluster.runs("total") > 0, eq(false))
}
