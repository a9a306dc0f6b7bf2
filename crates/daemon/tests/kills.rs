//! A process is killed in the middle of an answer.

mod support;

use std::time;

use azuregap_standins::engine;
use azuregap_standins::faults;
use azuregap_standins::plain;
use googletest::prelude::*;

use support::Cluster;
use support::Reply;
use support::Shape;

/// Stages of an answer of [`TOKENS`] tokens at 10 ms each.
const STAGES: [u64; 6] = [0, 5, 30, 100, 300, 600];

/// Tokens of one answer.
const TOKENS: u32 = 60;

fn after(stage: u64) -> tokio::time::Sleep {
    tokio::time::sleep(time::Duration::from_millis(stage))
}

/// The answer is whole, or clearly not; never torn and called whole.
fn verify_honest(reply: &Reply, prompt: &str, stage: &str) -> Result<()> {
    let whole = reply.status == 200 && reply.body == support::answer(prompt, TOKENS);
    let honest = if reply.claims_whole() { whole } else { true };
    verify_that!(honest, eq(true)).with_failure_message(|| {
        format!("{stage}: {} {}", reply.status, String::from_utf8_lossy(&reply.body))
    })
}

#[gtest]
#[actix_rt::test]
async fn an_entry_killed_at_any_stage_gives_no_torn_answer() -> Result<()> {
    let mut cluster = Cluster::start(Shape { plains: 0, ..Shape::default() }).await;
    for stage in STAGES {
        let prompt = format!("entry at {stage}");
        let caller = cluster.caller(0);
        let entry = &mut cluster.entries[0];
        let kill = async {
            after(stage).await;
            entry.kill();
        };
        let (reply, ()) = futures::join!(caller.chat(&prompt, TOKENS), kill);
        verify_honest(&reply, &prompt, &prompt)?;
        cluster.entries[0].restart();
        cluster.settle_entry(0).await;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn an_agent_killed_at_any_stage_gives_a_whole_answer_or_a_clear_error() -> Result<()> {
    let mut cluster = Cluster::start(Shape { plains: 0, engines: 2, ..Shape::default() }).await;
    let mut whole = 0;
    for stage in STAGES {
        let prompts = [0, 1].map(|i| format!("agent at {stage}, {i}"));
        let callers = [cluster.caller(0), cluster.caller(0)];
        let agent = &mut cluster.engine_agents[0];
        let kill = async {
            after(stage).await;
            agent.kill();
        };
        let [a, b] = [0, 1].map(|i| callers[i].chat(&prompts[i], TOKENS));
        let (a, b, ()) = futures::join!(a, b, kill);
        for (reply, prompt) in [(&a, &prompts[0]), (&b, &prompts[1])] {
            verify_honest(reply, prompt, prompt)?;
            whole += usize::from(reply.claims_whole());
        }
        cluster.engine_agents[0].restart();
        support::eventually("both agents are used again", async || {
            let before = cluster.engines[0].counters().started;
            let calls = [0, 1, 2, 3].map(|i| {
                let caller = cluster.caller(0);
                async move { caller.chat(&format!("again {i}"), 2).await }
            });
            futures::future::join_all(calls).await;
            cluster.engines[0].counters().started > before
        })
        .await;
    }
    println!("whole answers: {whole} of {}", 2 * STAGES.len());
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn an_engine_that_crashes_at_any_stage_is_replaced_or_reported() -> Result<()> {
    let cluster = Cluster::start(Shape { plains: 0, engines: 2, ..Shape::default() }).await;
    let mut whole = 0;
    for stage in STAGES {
        let prompts = [0, 1].map(|i| format!("engine at {stage}, {i}"));
        let callers = [cluster.caller(0), cluster.caller(0)];
        let crash = async {
            after(stage).await;
            cluster.engines[0].set_faults(engine::EngineFaults::new().crash(true));
        };
        let [a, b] = [0, 1].map(|i| callers[i].chat(&prompts[i], TOKENS));
        let (a, b, ()) = futures::join!(a, b, crash);
        for (reply, prompt) in [(&a, &prompts[0]), (&b, &prompts[1])] {
            verify_honest(reply, prompt, prompt)?;
            whole += usize::from(reply.claims_whole());
        }
        cluster.engines[0].set_faults(engine::EngineFaults::new());
        cluster.settle().await;
    }
    println!("whole answers: {whole} of {}", 2 * STAGES.len());
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn an_engine_that_cuts_every_answer_never_gives_a_whole_one() -> Result<()> {
    let cluster = Cluster::start(Shape { plains: 0, ..Shape::default() }).await;
    for token in [1, 2, 30, TOKENS - 1] {
        let faults = engine::EngineFaults::new().cut_at_token(token);
        cluster.engines[0].set_faults(faults);
        let prompt = format!("cut at {token}");
        let reply = cluster.caller(0).chat(&prompt, TOKENS).await;
        verify_honest(&reply, &prompt, &prompt)?;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn a_plain_answer_that_is_cut_is_never_passed_on_as_a_whole_one() -> Result<()> {
    let cluster = Cluster::start(Shape { engines: 0, ..Shape::default() }).await;
    for (path, cuts) in [("/lookups/1", 1), ("/lookups/2", 9), ("/credits", 1)] {
        let cut_body = faults::Count::Times(cuts);
        cluster.plains[0].set_faults(plain::PlainFaults { cut_body, ..Default::default() });
        let reply = cluster.caller(0).call("POST", path, path).await;
        let whole = serde_json::from_slice::<plain::Echo>(&reply.body).is_ok();
        verify_that!(reply.claims_whole() && !whole, eq(false))
            .with_failure_message(|| format!("{path}: {reply:?}"))?;
    }
    Ok(())
}
