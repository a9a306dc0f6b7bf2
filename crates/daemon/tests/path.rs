//! The whole path in separate processes.

mod support;

use azuregap_standins::plain;
use googletest::prelude::*;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use support::Cluster;
use support::Shape;

#[gtest]
#[actix_rt::test]
async fn a_chat_answer_comes_byte_for_byte() -> Result<()> {
    let cluster = Cluster::start(Shape { plains: 0, ..Shape::default() }).await;
    let before = cluster.engines[0].counters().started;
    for tokens in [1, 40, 200] {
        let reply = cluster.caller(0).chat("my egress doubled", tokens).await;
        verify_that!((reply.status, reply.ended), eq((200, true)))?;
        verify_that!(reply.body, eq(&support::answer("my egress doubled", tokens)))?;
    }
    verify_that!(cluster.engines[0].counters().started - before, eq(3))
}

#[gtest]
#[actix_rt::test]
async fn answers_of_many_callers_are_not_crossed() -> Result<()> {
    let shape = Shape { plains: 0, engines: 2, entries: 2, ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    let asking = (0..60).map(|i| {
        let caller = cluster.caller(i % 2);
        async move {
            let prompt = format!("line item {i}");
            caller.chat(&prompt, 20).await.body == support::answer(&prompt, 20)
        }
    });
    let own = futures::future::join_all(asking).await;
    verify_that!(own.iter().filter(|own| **own).count(), eq(60))
}

#[gtest]
#[actix_rt::test]
async fn a_plain_service_sees_neither_key_nor_cookies_nor_internal_headers() -> Result<()> {
    let cluster = Cluster::start(Shape { engines: 0, ..Shape::default() }).await;
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
    verify_that!(cluster.runs("call-1"), eq(1))
}

/// The caller's library sets `Connection` itself, so this request is written by hand.
#[gtest]
#[actix_rt::test]
async fn headers_of_one_connection_go_no_further() -> Result<()> {
    let cluster = Cluster::start(Shape { engines: 0, ..Shape::default() }).await;
    let address = cluster.entries[0].settings.address("listen");
    let mut stream = tokio::net::TcpStream::connect(address).await?;
    let request = format!(
        "POST /credits HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {}\r\n\
         Connection: X-Hop, close\r\nX-Hop: secret\r\nKeep-Alive: 5\r\nContent-Length: 0\r\n\r\n",
        support::KEY
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    verify_that!(answer, starts_with("HTTP/1.1 200"))?;
    verify_that!(answer, contains_substring("/credits"))?;
    verify_that!(answer, not(contains_substring("secret")))
}

#[gtest]
#[actix_rt::test]
async fn refusals_are_numbered_and_truly_not_run() -> Result<()> {
    let cluster = Cluster::start(Shape::default()).await;
    let caller = cluster.caller(0);
    let started = cluster.engines[0].counters().started;
    let seen = [
        caller.clone().key("nobody's").chat("x", 1).await,
        caller.clone().no_key().chat("x", 1).await,
        caller.clone().key("nobody's").call("POST", "/credits", "r-1").await,
        caller.call("POST", "/nowhere", "r-2").await,
        caller.call("POST", "/tariffs", "r-3").await,
    ];
    let seen: Vec<_> =
        seen.iter().map(|reply| (reply.status, reply.code(), reply.not_run())).collect();
    insta::assert_debug_snapshot!("refusals", seen);
    let open = caller.clone().no_key().call("GET", "/open/prices", "o-1").await;
    verify_that!(open.status, eq(200))?;
    verify_that!(cluster.engines[0].counters().started, eq(started))?;
    let runs: Vec<_> = ["r-1", "r-2", "r-3", "o-1"].map(|id| cluster.runs(id)).into();
    verify_that!(runs, eq(&[0, 0, 0, 1]))
}
