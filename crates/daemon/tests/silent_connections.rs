//! Connections between entry and agent stop carrying data without being closed, while new ones
//! work.

mod support;

use std::time;

use azuregap_standins::plain;
use googletest::prelude::*;

use support::Cluster;
use support::ClusterOptions;

/// Tokens of one response, at 10 ms each.
const RESPONSE_TOKENS: u32 = 60;

fn sleep_ms(milliseconds: u64) -> tokio::time::Sleep {
    tokio::time::sleep(time::Duration::from_millis(milliseconds))
}

fn silence_open_connections(cluster: &Cluster) {
    cluster.proxies.iter().for_each(|agent_proxy| agent_proxy.proxy.silence_open());
}

#[gtest]
#[actix_rt::test]
async fn response_resumes_over_a_new_connection_in_one_run() -> Result<()> {
    let options = ClusterOptions { plains: 0, proxied: true, ..ClusterOptions::default() };
    let cluster = Cluster::start(options).await;
    for delay_ms in [20, 100, 300, 550] {
        let before = cluster.engines[0].counters().started;
        let prompt = format!("silent at {delay_ms}");
        let caller = cluster.caller(0);
        let silence = async {
            sleep_ms(delay_ms).await;
            silence_open_connections(&cluster);
        };
        let (reply, ()) = futures::join!(caller.chat(&prompt, RESPONSE_TOKENS), silence);
        verify_that!((reply.status, reply.ended), eq((200, true)))?;
        verify_that!(reply.body, eq(&support::expected_stream(&prompt, RESPONSE_TOKENS)))?;
        verify_that!(cluster.engines[0].counters().started - before, eq(1))?;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn response_resumes_after_each_of_several_silent_connections() -> Result<()> {
    let options = ClusterOptions { plains: 0, proxied: true, ..ClusterOptions::default() };
    let cluster = Cluster::start(options).await;
    let before = cluster.engines[0].counters().started;
    let caller = cluster.caller(0);
    let silence = async {
        for _ in 0..4 {
            sleep_ms(700).await;
            silence_open_connections(&cluster);
        }
    };
    let (reply, ()) = futures::join!(caller.chat("again and again", 500), silence);
    verify_that!((reply.status, reply.ended), eq((200, true)))?;
    verify_that!(reply.body, eq(&support::expected_stream("again and again", 500)))?;
    verify_that!(cluster.engines[0].counters().started - before, eq(1))
}

#[gtest]
#[actix_rt::test]
async fn non_idempotent_call_succeeds_and_runs_once() -> Result<()> {
    let options = ClusterOptions { engines: 0, proxied: true, ..ClusterOptions::default() };
    let cluster = Cluster::start(options).await;
    let answer_delay = time::Duration::from_millis(800);
    cluster.plains[0].set_faults(plain::PlainFaults { answer_delay, ..Default::default() });
    for delay_ms in [20, 300, 700] {
        let id = format!("silent-{delay_ms}");
        let caller = cluster.caller(0);
        let silence = async {
            sleep_ms(delay_ms).await;
            silence_open_connections(&cluster);
        };
        let (reply, ()) = futures::join!(caller.call("POST", "/credits", &id), silence);
        verify_that!((reply.status, reply.ended), eq((200, true)))?;
        verify_that!(cluster.run_count(&id), eq(1))?;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn silent_idle_connections_fail_no_request() -> Result<()> {
    let options = ClusterOptions { plains: 2, proxied: true, ..ClusterOptions::default() };
    let cluster = Cluster::start(options).await;
    let cluster = &cluster;
    let calls = |round: usize| {
        (0..8).map(move |i| {
            let id = format!("idle-{round}-{i}");
            let caller = cluster.caller(0);
            async move { (caller.call("POST", "/credits", &id).await.status, id) }
        })
    };
    futures::future::join_all(calls(0)).await;
    silence_open_connections(cluster);
    let called = futures::future::join_all(calls(1)).await;
    for (status, id) in called {
        verify_that!((status, cluster.run_count(&id)), eq((200, 1))).with_failure_message(|| id)?;
    }
    let chat = cluster.caller(0).chat("idle", RESPONSE_TOKENS).await;
    verify_that!(chat.body, eq(&support::expected_stream("idle", RESPONSE_TOKENS)))
}

#[gtest]
#[actix_rt::test]
async fn silent_idle_connection_to_the_only_replica_is_replaced() -> Result<()> {
    let options = ClusterOptions { proxied: true, ..ClusterOptions::default() };
    let cluster = Cluster::start(options).await;
    for i in 0..3 {
        silence_open_connections(&cluster);
        let id = format!("only-{i}");
        let reply = cluster.caller(0).call("POST", "/credits", &id).await;
        verify_that!((reply.status, cluster.run_count(&id)), eq((200, 1)))
            .with_failure_message(|| format!("{id}: {:?} {:?}", reply.code(), reply.not_run()))?;
        let chat = cluster.caller(0).chat(&id, 5).await;
        verify_that!(chat.body, eq(&support::expected_stream(&id, 5)))?;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn temporary_silence_leads_to_a_complete_response_or_an_error() -> Result<()> {
    let options = ClusterOptions { proxied: true, ..ClusterOptions::default() };
    let cluster = Cluster::start(options).await;
    let silence = async {
        sleep_ms(200).await;
        cluster.proxies.iter().for_each(|agent_proxy| agent_proxy.proxy.silence_all(true));
        sleep_ms(1500).await;
        cluster.proxies.iter().for_each(|agent_proxy| agent_proxy.proxy.silence_all(false));
    };
    let before = cluster.engines[0].counters().started;
    let caller = cluster.caller(0);
    let non_idempotent = async {
        sleep_ms(150).await;
        cluster.caller(0).call("POST", "/credits", "total").await
    };
    let (chat, call, ()) = futures::join!(caller.chat("total", 200), non_idempotent, silence);
    verify_that!(
        !chat.appears_complete() || chat.body == support::expected_stream("total", 200),
        eq(true)
    )?;
    verify_that!(cluster.engines[0].counters().started - before, le(1))?;
    verify_that!(cluster.run_count("total"), le(1))?;
    verify_that!(call.not_run() == Some(true) && cluster.run_count("total") > 0, eq(false))
}
