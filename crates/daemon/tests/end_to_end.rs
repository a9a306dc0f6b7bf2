//! Requests from caller to backend server, with entries and agents as separate processes.

mod support;

use azuregap_standins::plain;
use googletest::prelude::*;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use support::Cluster;
use support::ClusterOptions;

#[gtest]
#[actix_rt::test]
async fn chat_response_equals_the_engine_output() -> Result<()> {
    let cluster = Cluster::start(ClusterOptions { plains: 0, ..ClusterOptions::default() }).await;
    let before = cluster.engines[0].counters().started;
    for tokens in [1, 40, 200] {
        let reply = cluster.caller(0).chat("my egress doubled", tokens).await;
        verify_that!((reply.status, reply.ended), eq((200, true)))?;
        verify_that!(reply.body, eq(&support::expected_stream("my egress doubled", tokens)))?;
    }
    verify_that!(cluster.engines[0].counters().started - before, eq(3))
}

#[gtest]
#[actix_rt::test]
async fn concurrent_callers_receive_their_own_responses() -> Result<()> {
    let options = ClusterOptions { plains: 0, engines: 2, entries: 2, ..ClusterOptions::default() };
    let cluster = Cluster::start(options).await;
    let calls = (0..60).map(|i| {
        let caller = cluster.caller(i % 2);
        async move {
            let prompt = format!("line item {i}");
            caller.chat(&prompt, 20).await.body == support::expected_stream(&prompt, 20)
        }
    });
    let matches = futures::future::join_all(calls).await;
    verify_that!(matches.iter().filter(|matched| **matched).count(), eq(60))
}

#[gtest]
#[actix_rt::test]
async fn key_cookies_and_internal_headers_are_not_forwarded() -> Result<()> {
    let cluster = Cluster::start(ClusterOptions { engines: 0, ..ClusterOptions::default() }).await;
    let caller = cluster
        .caller(0)
        .header("cookie", "session=secret")
        .header("x-priority", "0")
        .header("x-resume-offset", "7")
        .header("x-azuregap-team", "kelp")
        .header("accept-language", "cs");
    let reply = caller.call("PATCH", "/credits/9?dry=1", "call-1").await;
    verify_that!((reply.status, reply.ended), eq((200, true)))?;
    let echo: plain::Echo = serde_json::from_slice(&reply.body)?;
    verify_that!((echo.method.as_str(), echo.path.as_str()), eq(("PATCH", "/credits/9")))?;
    verify_that!((echo.query.as_str(), echo.body.as_str()), eq(("dry=1", "body of call-1")))?;
    verify_that!(echo.headers.get("accept-language"), some(eq("cs")))?;
    let all = String::from_utf8_lossy(&reply.body).into_owned();
    verify_that!(all, not(contains_substring(support::KEY)))?;
    verify_that!(all, not(contains_substring("secret")))?;
    for name in ["authorization", "cookie", "x-resume-offset", "x-azuregap-team"] {
        verify_that!(echo.headers.get(name), none()).with_failure_message(|| name.to_owned())?;
    }
    verify_that!(cluster.run_count("call-1"), eq(1))
}

/// Written to a raw socket, because the HTTP client sets `Connection` itself.
#[gtest]
#[actix_rt::test]
async fn hop_by_hop_headers_are_not_forwarded() -> Result<()> {
    let cluster = Cluster::start(ClusterOptions { engines: 0, ..ClusterOptions::default() }).await;
    let address = cluster.entries[0].settings.address("listen");
    let mut stream = tokio::net::TcpStream::connect(address).await?;
    let request = format!(
        "POST /credits HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {}\r\n\
         Connection: X-Hop, close\r\nX-Hop: secret\r\nKeep-Alive: 5\r\nContent-Length: 0\r\n\r\n",
        support::KEY
    );
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    verify_that!(response, starts_with("HTTP/1.1 200"))?;
    verify_that!(response, contains_substring("/credits"))?;
    verify_that!(response, not(contains_substring("secret")))
}

#[gtest]
#[actix_rt::test]
async fn refused_requests_return_a_code_and_do_not_run() -> Result<()> {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let caller = cluster.caller(0);
    let started = cluster.engines[0].counters().started;
    let refusals = [
        caller.clone().key("nobody's").chat("x", 1).await,
        caller.clone().no_key().chat("x", 1).await,
        caller.clone().key("nobody's").call("POST", "/credits", "r-1").await,
        caller.call("POST", "/nowhere", "r-2").await,
        caller.call("POST", "/tariffs", "r-3").await,
    ];
    let refusals: Vec<_> =
        refusals.iter().map(|reply| (reply.status, reply.code(), reply.not_run())).collect();
    insta::assert_debug_snapshot!("refusals", refusals);
    let open = caller.clone().no_key().call("GET", "/open/prices", "o-1").await;
    verify_that!(open.status, eq(200))?;
    verify_that!(cluster.engines[0].counters().started, eq(started))?;
    let runs: Vec<_> = ["r-1", "r-2", "r-3", "o-1"].map(|id| cluster.run_count(id)).into();
    verify_that!(runs, eq(&[0, 0, 0, 1]))
}
