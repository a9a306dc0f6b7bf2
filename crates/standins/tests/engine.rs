//! The engine over HTTP and on paused time.

use std::time;

use azuregap_platform::strict;
use azuregap_standins::engine;
use bytes::Bytes;
use googletest::prelude::*;
use serde_json::json;

const ANY: std::net::SocketAddr =
    std::net::SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0));

fn answer(tokens: u32) -> engine::Answer {
    engine::Answer { model: "m".into(), chat: true, prompt: "why is egress dear".into(), tokens }
}

fn job(id: &str, tokens: u32) -> engine::Job {
    engine::Job { id: id.to_owned(), priority: 0, skip: 0, answer: answer(tokens) }
}

fn body(tokens: u32, stream: bool) -> serde_json::Value {
    let message = json!({"role": "user", "content": "why is egress dear"});
    json!({"model": "m", "messages": [message], "max_tokens": tokens, "stream": stream})
}

async fn post(
    url: &str,
    headers: &[(&str, &str)],
    body: serde_json::Value,
) -> (u16, Option<Bytes>) {
    let mut request = strict::client().post(url);
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    let Ok(mut response) = request.send_json(&body).await else { return (0, None) };
    (response.status().as_u16(), response.body().await.ok())
}

async fn runs_to_end(mut events: tokio::sync::mpsc::UnboundedReceiver<engine::Event>) -> bool {
    let mut last = None;
    while let Some(event) = events.recv().await {
        last = Some(event);
    }
    last == Some(engine::Event::End)
}

#[gtest]
#[actix_rt::test]
async fn answers_are_streamed_whole_and_resumed_byte_for_byte() -> Result<()> {
    let (server, address) = engine::serve(ANY, engine::Settings::instant())?;
    let url = format!("http://{address}/v1/chat/completions");
    let expected = answer(5).stream();
    verify_that!(post(&url, &[], body(5, true)).await, eq(&(200, Some(expected.clone()))))?;
    verify_that!(post(&url, &[], body(5, false)).await, eq(&(200, Some(answer(5).document()))))?;
    for offset in 0..=expected.len() {
        let resume = [("x-resume-offset", &*offset.to_string())];
        let rest = post(&url, &resume, body(5, true)).await;
        verify_that!(rest, eq(&(200, Some(expected.slice(offset..)))))?;
    }
    insta::assert_snapshot!("stream", String::from_utf8_lossy(&answer(2).stream()));
    server.stop(false).await;
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn a_cut_or_crashed_answer_never_looks_whole() -> Result<()> {
    let engine = engine::Engine::start(engine::Settings::instant());
    let (server, address) = engine.serve(ANY)?;
    let url = format!("http://{address}/v1/chat/completions");
    engine.set_faults(engine::EngineFaults::new().cut_at_token(2));
    verify_that!(post(&url, &[], body(5, true)).await, eq(&(200, None)))?;
    verify_that!(post(&url, &[], body(5, false)).await.1, none())?;
    engine.set_faults(engine::EngineFaults::new().crash(true));
    verify_that!(post(&url, &[], body(5, true)).await.1, none())?;
    engine.set_faults(engine::EngineFaults::new().error(1));
    verify_that!(post(&url, &[], body(5, true)).await.0, eq(500))?;
    verify_that!(post(&url, &[], body(5, true)).await.1, eq(&Some(answer(5).stream())))?;
    let counters = engine.counters();
    verify_that!((counters.started, counters.finished, counters.lost), eq((3, 1, 2)))?;
    verify_that!(counters.wasted, eq(4))?;
    server.stop(false).await;
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn a_caller_that_goes_away_frees_its_slot() -> Result<()> {
    let engine = engine::Engine::start(engine::Settings::new().slots(1));
    let (server, address) = engine.serve(ANY)?;
    let url = format!("http://{address}/v1/chat/completions");
    for (stream, cancelled) in [(true, 1), (false, 2)] {
        let client = strict::client();
        let sending = client.post(&url).send_json(&body(100_000, stream));
        let short = time::Duration::from_millis(200);
        let outcome = tokio::time::timeout(short, async {
            let mut response = sending.await.unwrap();
            response.body().await.unwrap()
        });
        verify_that!(outcome.await.is_err(), eq(true))?;
        drop(client);
        while engine.counters().cancelled < cancelled {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }
    verify_that!(engine.load().running, eq(0))?;
    server.stop(false).await;
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn decode_slows_with_the_batch_and_prefixes_shorten_prefill() -> Result<()> {
    let settings = engine::Settings::new().batch_percent(50);
    let engine = engine::Engine::start(settings);
    let start = tokio::time::Instant::now();
    verify_that!(runs_to_end(engine.submit(job("a", 100))).await, eq(true))?;
    let alone = start.elapsed();
    let start = tokio::time::Instant::now();
    let both = (engine.submit(job("b", 100)), engine.submit(job("c", 100)));
    let ends = futures::join!(runs_to_end(both.0), runs_to_end(both.1));
    verify_that!(ends, eq((true, true)))?;
    let paired = start.elapsed();
    let long = |id: &str| {
        let mut long = job(id, 1);
        long.answer.prompt = "word ".repeat(1600);
        long
    };
    let start = tokio::time::Instant::now();
    runs_to_end(engine.submit(long("d"))).await;
    let cold = start.elapsed();
    let start = tokio::time::Instant::now();
    runs_to_end(engine.submit(long("e"))).await;
    insta::assert_debug_snapshot!("times", (alone, paired, cold, start.elapsed()));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn waiting_runs_go_by_priority_and_reports_lag() -> Result<()> {
    let engine = engine::Engine::start(engine::Settings::new().slots(1));
    let first = engine.submit(job("first", 10));
    tokio::time::sleep(time::Duration::from_millis(5)).await;
    let low = engine.submit(engine::Job { priority: 1, ..job("low", 10) });
    let high = engine.submit(job("high", 10));
    verify_that!(engine.load().waiting, eq(2))?;
    verify_that!(engine.reported_load().waiting, eq(0))?;
    verify_that!(runs_to_end(first).await && runs_to_end(high).await, eq(true))?;
    verify_that!(engine.counters().runs["low"].finished, eq(0))?;
    verify_that!(engine.reported_load().running, eq(0))?;
    verify_that!(runs_to_end(low).await, eq(true))?;
    verify_that!(engine.cancel("low"), eq(0))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_straggler_takes_ten_times_as_long_and_a_frozen_engine_until_it_thaws() -> Result<()> {
    let engine = engine::Engine::start(engine::Settings::new().prefill(time::Duration::ZERO));
    let mut times = Vec::new();
    for speed in [100, 10] {
        engine.set_faults(engine::EngineFaults::new().speed_percent(speed));
        let start = tokio::time::Instant::now();
        runs_to_end(engine.submit(job("a", 10))).await;
        times.push(start.elapsed());
    }
    verify_that!(times[1], eq(times[0] * 10))?;
    engine.set_faults(engine::EngineFaults::new().freeze(true));
    let frozen = runs_to_end(engine.submit(job("b", 1)));
    let frozen = tokio::time::timeout(time::Duration::from_secs(60), frozen).await;
    verify_that!(frozen.is_err(), eq(true))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_old_fencing_number_is_refused_or_ignored_as_set() -> Result<()> {
    let order = |id: &str, fence| engine::EngineOrder {
        id: id.to_owned(),
        fence,
        action: engine::EngineAction::Role(id.to_owned()),
    };
    let mut outcomes = Vec::new();
    for checks in [true, false] {
        let engine = engine::Engine::start(engine::Settings::new().checks_fence(checks));
        let taken = [
            engine.order(order("new", 2)).await,
            engine.order(order("new", 2)).await,
            engine.order(order("old", 1)).await,
        ];
        let carried: Vec<_> = engine.order_log().iter().map(|entry| entry.carried_out).collect();
        outcomes.push((checks, taken, carried, engine.role()));
    }
    insta::assert_debug_snapshot!("orders", outcomes);
    Ok(())
}
