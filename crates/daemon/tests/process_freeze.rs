//! A process is suspended in the middle of a response and continues later.

mod support;

use std::time;

use azuregap_standins::engine;
use googletest::prelude::*;
use nix::sys::signal::Signal;

use support::Cluster;
use support::ClusterOptions;

/// Tokens of one response, at 10 ms each.
const RESPONSE_TOKENS: u32 = 60;

/// Duration of a freeze; longer than the time after which an entry treats a connection as silent.
const FREEZE_DURATION: time::Duration = time::Duration::from_secs(3);

#[gtest]
#[actix_rt::test]
async fn response_completes_in_one_run_after_the_agent_freezes() -> Result<()> {
    let cluster = Cluster::start(ClusterOptions { plains: 0, ..ClusterOptions::default() }).await;
    let before = cluster.engines[0].counters().started;
    let caller = cluster.caller(0);
    let freeze = async {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        cluster.engine_agents[0].signal(Signal::SIGSTOP);
        tokio::time::sleep(FREEZE_DURATION).await;
        cluster.engine_agents[0].signal(Signal::SIGCONT);
    };
    let (reply, ()) = futures::join!(caller.chat("frozen agent", RESPONSE_TOKENS), freeze);
    verify_that!((reply.status, reply.ended), eq((200, true)))?;
    verify_that!(reply.body, eq(&support::expected_stream("frozen agent", RESPONSE_TOKENS)))?;
    verify_that!(cluster.engines[0].counters().started - before, eq(1))
}

#[gtest]
#[actix_rt::test]
async fn response_completes_in_one_run_after_the_engine_freezes() -> Result<()> {
    let cluster = Cluster::start(ClusterOptions { plains: 0, ..ClusterOptions::default() }).await;
    let before = cluster.engines[0].counters().started;
    let caller = cluster.caller(0);
    let freeze = async {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        cluster.engines[0].set_faults(engine::EngineFaults::new().freeze(true));
        tokio::time::sleep(FREEZE_DURATION).await;
        cluster.engines[0].set_faults(engine::EngineFaults::new());
    };
    let (reply, ()) = futures::join!(caller.chat("frozen engine", RESPONSE_TOKENS), freeze);
    verify_that!((reply.status, reply.ended), eq((200, true)))?;
    verify_that!(reply.body, eq(&support::expected_stream("frozen engine", RESPONSE_TOKENS)))?;
    verify_that!(cluster.engines[0].counters().started - before, eq(1))
}

#[gtest]
#[actix_rt::test]
async fn non_idempotent_call_runs_at_most_once_if_its_agent_freezes() -> Result<()> {
    let cluster =
        Cluster::start(ClusterOptions { engines: 0, plains: 2, ..ClusterOptions::default() }).await;
    for (i, agent) in cluster.plain_agents.iter().enumerate() {
        let id = format!("frozen-{i}");
        agent.signal(Signal::SIGSTOP);
        let caller = cluster.caller(0);
        let unfreeze = async {
            tokio::time::sleep(FREEZE_DURATION).await;
            agent.signal(Signal::SIGCONT);
        };
        let (reply, ()) = futures::join!(caller.call("POST", "/credits", &id), unfreeze);
        tokio::time::sleep(FREEZE_DURATION).await;
        let run_count = cluster.run_count(&id);
        verify_that!(run_count, le(1))?;
        verify_that!(reply.status == 200 && run_count == 0, eq(false))?;
        verify_that!(reply.not_run() == Some(true) && run_count > 0, eq(false))?;
    }
    Ok(())
}
