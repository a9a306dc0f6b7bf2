//! A process is killed in the middle of a response.

mod support;

use std::time;

use azuregap_standins::engine;
use azuregap_standins::faults;
use azuregap_standins::plain;
use googletest::prelude::*;

use support::Cluster;
use support::ClusterOptions;
use support::Reply;

/// Delays before the kill, over a response of [`RESPONSE_TOKENS`] tokens at 10 ms each.
const DELAYS_MS: [u64; 6] = [0, 5, 30, 100, 300, 600];

/// Tokens of one response.
const RESPONSE_TOKENS: u32 = 60;

fn sleep_ms(delay_ms: u64) -> tokio::time::Sleep {
    tokio::time::sleep(time::Duration::from_millis(delay_ms))
}

/// Verifies that a response that appears complete is complete.
fn verify_complete_or_error(reply: &Reply, prompt: &str, label: &str) -> Result<()> {
    let complete =
        reply.status == 200 && reply.body == support::expected_stream(prompt, RESPONSE_TOKENS);
    let consistent = if reply.appears_complete() { complete } else { true };
    verify_that!(consistent, eq(true)).with_failure_message(|| {
        format!("{label}: {} {}", reply.status, String::from_utf8_lossy(&reply.body))
    })
}

#[gtest]
#[actix_rt::test]
async fn killed_entry_never_sends_a_truncated_response_as_complete() -> Result<()> {
    let mut cluster =
        Cluster::start(ClusterOptions { plains: 0, ..ClusterOptions::default() }).await;
    for delay_ms in DELAYS_MS {
        let prompt = format!("entry at {delay_ms}");
        let caller = cluster.caller(0);
        let entry = &mut cluster.entries[0];
        let kill = async {
            sleep_ms(delay_ms).await;
            entry.kill();
        };
        let (reply, ()) = futures::join!(caller.chat(&prompt, RESPONSE_TOKENS), kill);
        verify_complete_or_error(&reply, &prompt, &prompt)?;
        cluster.entries[0].restart();
        cluster.wait_until_entry_serves(0).await;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn killed_agent_leads_to_a_complete_response_or_an_error() -> Result<()> {
    let mut cluster =
        Cluster::start(ClusterOptions { plains: 0, engines: 2, ..ClusterOptions::default() }).await;
    let mut complete = 0;
    for delay_ms in DELAYS_MS {
        let prompts = [0, 1].map(|i| format!("agent at {delay_ms}, {i}"));
        let callers = [cluster.caller(0), cluster.caller(0)];
        let agent = &mut cluster.engine_agents[0];
        let kill = async {
            sleep_ms(delay_ms).await;
            agent.kill();
        };
        let [a, b] = [0, 1].map(|i| callers[i].chat(&prompts[i], RESPONSE_TOKENS));
        let (a, b, ()) = futures::join!(a, b, kill);
        for (reply, prompt) in [(&a, &prompts[0]), (&b, &prompts[1])] {
            verify_complete_or_error(reply, prompt, prompt)?;
            complete += usize::from(reply.appears_complete());
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
    println!("complete responses: {complete} of {}", 2 * DELAYS_MS.len());
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn crashed_engine_leads_to_a_complete_response_or_an_error() -> Result<()> {
    let cluster =
        Cluster::start(ClusterOptions { plains: 0, engines: 2, ..ClusterOptions::default() }).await;
    let mut complete = 0;
    for delay_ms in DELAYS_MS {
        let prompts = [0, 1].map(|i| format!("engine at {delay_ms}, {i}"));
        let callers = [cluster.caller(0), cluster.caller(0)];
        let crash = async {
            sleep_ms(delay_ms).await;
            cluster.engines[0].set_faults(engine::EngineFaults::new().crash(true));
        };
        let [a, b] = [0, 1].map(|i| callers[i].chat(&prompts[i], RESPONSE_TOKENS));
        let (a, b, ()) = futures::join!(a, b, crash);
        for (reply, prompt) in [(&a, &prompts[0]), (&b, &prompts[1])] {
            verify_complete_or_error(reply, prompt, prompt)?;
            complete += usize::from(reply.appears_complete());
        }
        cluster.engines[0].set_faults(engine::EngineFaults::new());
        cluster.wait_until_serving().await;
    }
    println!("complete responses: {complete} of {}", 2 * DELAYS_MS.len());
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn response_cut_by_the_engine_is_not_sent_as_complete() -> Result<()> {
    let cluster = Cluster::start(ClusterOptions { plains: 0, ..ClusterOptions::default() }).await;
    for token in [1, 2, 30, RESPONSE_TOKENS - 1] {
        let faults = engine::EngineFaults::new().cut_at_token(token);
        cluster.engines[0].set_faults(faults);
        let prompt = format!("cut at {token}");
        let reply = cluster.caller(0).chat(&prompt, RESPONSE_TOKENS).await;
        verify_complete_or_error(&reply, &prompt, &prompt)?;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn response_cut_by_a_plain_service_is_not_sent_as_complete() -> Result<()> {
    let cluster = Cluster::start(ClusterOptions { engines: 0, ..ClusterOptions::default() }).await;
    for (path, cuts) in [("/lookups/1", 1), ("/lookups/2", 9), ("/credits", 1)] {
        let cut_body = faults::Count::Times(cuts);
        cluster.plains[0].set_faults(plain::PlainFaults { cut_body, ..Default::default() });
        let reply = cluster.caller(0).call("POST", path, path).await;
        let complete = serde_json::from_slice::<plain::Echo>(&reply.body).is_ok();
        verify_that!(reply.appears_complete() && !complete, eq(false))
            .with_failure_message(|| format!("{path}: {reply:?}"))?;
    }
    Ok(())
}
