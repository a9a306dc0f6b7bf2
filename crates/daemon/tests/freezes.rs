//! A process is frozen in the middle of an answer and thawed later.

mod support;

use std::time;

use azuregap_standins::engine;
use googletest::prelude::*;
use nix::sys::signal::Signal;

use support::Cluster;
use support::Shape;

/// Tokens of one answer, at 10 ms each.
const TOKENS: u32 = 60;

/// How long a freeze lasts; longer than an entry takes for silence.
const FREEZE: time::Duration = time::Duration::from_secs(3);

#[gtest]
#[actix_rt::test]
async fn an_agent_frozen_in_mid_answer_gives_the_whole_answer_and_one_run() -> Result<()> {
    let cluster = Cluster::start(Shape { plains: 0, ..Shape::default() }).await;
    let before = cluster.engines[0].counters().started;
    let caller = cluster.caller(0);
    let freeze = async {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        cluster.engine_agents[0].signal(Signal::SIGSTOP);
        tokio::time::sleep(FREEZE).await;
        cluster.engine_agents[0].signal(Signal::SIGCONT);
    };
    let (reply, ()) = futures::join!(caller.chat("frozen agent", TOKENS), freeze);
    verify_that!((reply.status, reply.ended), eq((200, true)))?;
    verify_that!(reply.body, eq(&support::answer("frozen agent", TOKENS)))?;
    verify_that!(cluster.engines[0].counters().started - before, eq(1))
}

#[gtest]
#[actix_rt::test]
async fn an_engine_frozen_in_mid_answer_gives_the_whole_answer_and_one_run() -> Result<()> {
    let cluster = Cluster::start(Shape { plains: 0, ..Shape::default() }).await;
    let before = cluster.engines[0].counters().started;
    let caller = cluster.caller(0);
    let freeze = async {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        cluster.engines[0].set_faults(engine::EngineFaults::new().freeze(true));
        tokio::time::sleep(FREEZE).await;
        cluster.engines[0].set_faults(engine::EngineFaults::new());
    };
    let (reply, ()) = futures::join!(caller.chat("frozen engine", TOKENS), freeze);
    verify_that!((reply.status, reply.ended), eq((200, true)))?;
    verify_that!(reply.body, eq(&support::answer("frozen engine", TOKENS)))?;
    verify_that!(cluster.engines[0].counters().started - before, eq(1))
}

#[gtest]
#[actix_rt::test]
async fn an_agent_frozen_under_a_call_that_runs_once_runs_it_once() -> Result<()> {
    let cluster = Cluster::start(Shape { engines: 0, plains: 2, ..Shape::default() }).await;
    for (i, agent) in cluster.plain_agents.iter().enumerate() {
        let id = format!("frozen-{i}");
        agent.signal(Signal::SIGSTOP);
        let caller = cluster.caller(0);
        let thaw = async {
            tokio::time::sleep(FREEZE).await;
            agent.signal(Signal::SIGCONT);
        };
        let (reply, ()) = futures::join!(caller.call("POST", "/credits", &id), thaw);
        tokio::time::sleep(FREEZE).await;
        let runs = cluster.runs(&id);
        verify_that!(runs, le(1))?;
        verify_that!(reply.status == 200 && runs == 0, eq(false))?;
        verify_that!(reply.not_run() == Some(true) && runs > 0, eq(false))?;
    }
    Ok(())
}
