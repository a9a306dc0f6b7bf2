//! A key is withdrawn while its caller is connected.

mod support;

use std::time;

use googletest::prelude::*;
use serde_json::json;

use support::Cluster;
use support::Shape;

/// Time within which a withdrawn key stops working everywhere.
const BOUND: time::Duration = time::Duration::from_secs(5);

#[gtest]
#[actix_rt::test]
async fn a_withdrawn_key_is_refused_and_its_stream_ends_in_time() -> Result<()> {
    let shape = Shape { plains: 0, entries: 2, ..Shape::default() };
    let mut cluster = Cluster::start(shape).await;
    let [withdrawn, kept] = [cluster.caller(0), cluster.caller(0).key(support::OTHER_KEY)];
    let other_entry = cluster.caller(1);
    let mut intent = cluster.intent.clone();
    intent["keys"][0]["withdrawn"] = json!(true);
    let streams = async { futures::join!(withdrawn.chat("long", 1500), kept.chat("kept", 700)) };
    let withdraw = async {
        tokio::time::sleep(time::Duration::from_millis(500)).await;
        cluster.accept(intent).await;
        tokio::time::sleep(BOUND).await;
        futures::join!(withdrawn.chat("again", 1), other_entry.chat("again", 1))
    };
    let ((long, kept), refused) = futures::join!(streams, withdraw);
    verify_that!(long.claims_whole(), eq(false))?;
    verify_that!(long.body.len(), lt(support::answer("long", 1500).len()))?;
    verify_that!(String::from_utf8_lossy(&long.body), contains_substring("3005"))?;
    verify_that!(kept.body, eq(&support::answer("kept", 700)))?;
    for reply in [refused.0, refused.1] {
        verify_that!((reply.status, reply.code()), eq((401, Some(1003))))?;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn a_call_that_runs_once_goes_on_when_its_key_is_withdrawn() -> Result<()> {
    let mut cluster = Cluster::start(Shape { engines: 0, ..Shape::default() }).await;
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
        cluster.accept(intent).await;
    };
    let (reply, ()) = futures::join!(caller.call("POST", "/credits", "slow-1"), withdraw);
    verify_that!((reply.status, reply.ended), eq((200, true)))?;
    verify_that!(cluster.runs("slow-1"), eq(1))
}
