//! A key is withdrawn while requests that use it are in progress.

mod support;

use std::time;

use googletest::prelude::*;
use serde_json::json;

use support::Cluster;
use support::ClusterOptions;

/// Time within which a withdrawn key stops working everywhere.
const REVOCATION_BOUND: time::Duration = time::Duration::from_secs(5);

#[gtest]
#[actix_rt::test]
async fn withdrawn_key_is_refused_and_its_stream_ends_within_the_bound() -> Result<()> {
    let options = ClusterOptions { plains: 0, entries: 2, ..ClusterOptions::default() };
    let mut cluster = Cluster::start(options).await;
    let [withdrawn, kept] = [cluster.caller(0), cluster.caller(0).key(support::OTHER_KEY)];
    let other_entry = cluster.caller(1);
    let mut intent = cluster.intent.clone();
    intent["keys"][0]["withdrawn"] = json!(true);
    let streams = async { futures::join!(withdrawn.chat("long", 1500), kept.chat("kept", 700)) };
    let withdraw = async {
        tokio::time::sleep(time::Duration::from_millis(500)).await;
        cluster.apply_intent(intent).await;
        tokio::time::sleep(REVOCATION_BOUND).await;
        futures::join!(withdrawn.chat("again", 1), other_entry.chat("again", 1))
    };
    let ((long, kept), refused) = futures::join!(streams, withdraw);
    verify_that!(long.appears_complete(), eq(false))?;
    verify_that!(long.body.len(), lt(support::expected_stream("long", 1500).len()))?;
    verify_that!(String::from_utf8_lossy(&long.body), contains_substring("3005"))?;
    verify_that!(kept.body, eq(&support::expected_stream("kept", 700)))?;
    for reply in [refused.0, refused.1] {
        verify_that!((reply.status, reply.code()), eq((401, Some(1003))))?;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn non_idempotent_call_completes_after_its_key_is_withdrawn() -> Result<()> {
    let mut cluster =
        Cluster::start(ClusterOptions { engines: 0, ..ClusterOptions::default() }).await;
    let caller = cluster.caller(0);
    let slow = azuregap_standins::plain::PlainFaults {
        answer_delay: time::Duration::from_secs(7),
        ..Default::default()
    };
    cluster.plains[0].set_faults(slow);
    let mut intent = cluster.intent.clone();
    intent["keys"][0]["withdrawn"] = json!(true);
    let withdraw = async {
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        cluster.apply_intent(intent).await;
    };
    let (reply, ()) = futures::join!(caller.call("POST", "/credits", "slow-1"), withdraw);
    verify_that!((reply.status, reply.ended), eq((200, true)))?;
    verify_that!(cluster.run_count("slow-1"), eq(1))
}
