//! The platform's table service is down, slow or loses responses.

mod support;

use std::time;

use azuregap_standins::faults;
use googletest::prelude::*;

use support::Cluster;
use support::ClusterOptions;
use support::Reply;

fn verify_outcome(cluster: &Cluster, id: &str, reply: &Reply) -> Result<()> {
    let run_count = cluster.run_count(id);
    let outcome = (reply.status, reply.not_run());
    verify_that!(run_count, le(1)).with_failure_message(|| format!("{id}: {outcome:?}"))?;
    verify_that!(reply.not_run() == Some(true) && run_count > 0, eq(false))
        .with_failure_message(|| format!("{id}: {outcome:?} {run_count}"))?;
    verify_that!(reply.appears_complete() && run_count == 0, eq(false))
        .with_failure_message(|| format!("{id}: {outcome:?} {run_count}"))
}

#[gtest]
#[actix_rt::test]
async fn requests_without_a_claim_succeed_during_a_store_outage() -> Result<()> {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    cluster.platform.table.set_faults(faults::Faults::new().outage(true));
    let reply = cluster.caller(0).chat("outage", 20).await;
    verify_that!(reply.body, eq(&support::expected_stream("outage", 20)))?;
    let reply = cluster.caller(0).call("GET", "/lookups/1", "lookup-1").await;
    verify_that!(reply.status, eq(200))?;
    let keyed = cluster.caller(0).header("idempotency-key", "k-1");
    let reply = keyed.call("POST", "/credits", "credit-1").await;
    verify_that!((reply.status, reply.code()), eq((503, Some(4001))))?;
    verify_that!(reply.header("retry-after").is_some(), eq(true))?;
    verify_that!(cluster.run_count("credit-1"), eq(0))?;
    cluster.platform.table.set_faults(faults::Faults::new());
    support::eventually("the claim is made once the store is back", async || {
        let reply = keyed.call("POST", "/credits", "credit-1").await;
        reply.status == 200
    })
    .await;
    verify_that!(cluster.run_count("credit-1"), eq(1))?;
    cluster.platform.table.set_faults(faults::Faults::new().outage(true));
    let repeat = keyed.call("POST", "/credits", "credit-1").await;
    verify_that!((repeat.code(), repeat.not_run()), eq((Some(4001), Some(false))))?;
    verify_that!(cluster.run_count("credit-1"), eq(1))
}

#[gtest]
#[actix_rt::test]
async fn call_runs_at_most_once_if_the_store_loses_responses_to_its_claim() -> Result<()> {
    let cluster =
        Cluster::start(ClusterOptions { engines: 0, entries: 2, ..ClusterOptions::default() })
            .await;
    for spare in 0..4 {
        for lost in [1, 2] {
            let id = format!("lost-{spare}-{lost}");
            let faults = faults::Faults::new().spare(spare).lose(lost);
            cluster.platform.table.set_faults(faults);
            for entry in [0, 1, 0] {
                let caller = cluster.caller(entry).header("idempotency-key", &id);
                let reply = caller.call("POST", "/credits", &id).await;
                verify_outcome(&cluster, &id, &reply)?;
            }
        }
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn repeat_at_another_entry_returns_the_stored_response() -> Result<()> {
    let cluster =
        Cluster::start(ClusterOptions { engines: 0, entries: 2, ..ClusterOptions::default() })
            .await;
    let [first, second] =
        [0, 1].map(|entry| cluster.caller(entry).header("idempotency-key", "same"));
    let a = first.call("POST", "/tariffs", "tariff-1").await;
    let b = second.call("POST", "/tariffs", "tariff-1").await;
    verify_that!((a.status, b.status), eq((200, 200)))?;
    verify_that!(a.body, eq(&b.body))?;
    verify_that!(cluster.run_count("tariff-1"), eq(1))?;
    let other = second.call("POST", "/tariffs", "tariff-2").await;
    verify_that!((other.status, other.code()), eq((422, Some(1009))))?;
    verify_that!(cluster.run_count("tariff-2"), eq(0))
}

#[gtest]
#[actix_rt::test]
async fn slow_store_delays_a_claim_and_the_call_runs_at_most_once() -> Result<()> {
    let cluster = Cluster::start(ClusterOptions { engines: 0, ..ClusterOptions::default() }).await;
    let slow = faults::Faults::new().answer_delay(time::Duration::from_millis(1500));
    cluster.platform.table.set_faults(slow);
    let caller = cluster.caller(0).header("idempotency-key", "slow");
    let reply = caller.call("POST", "/credits", "slow-1").await;
    verify_outcome(&cluster, "slow-1", &reply)?;
    cluster.platform.table.set_faults(faults::Faults::new());
    let reply = caller.call("POST", "/credits", "slow-1").await;
    verify_outcome(&cluster, "slow-1", &reply)
}
