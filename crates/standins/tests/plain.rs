//! The plain service and the forwarder that falls silent.

use std::net;
use std::time;

use azuregap_platform::strict;
use azuregap_standins::faults;
use azuregap_standins::plain;
use azuregap_standins::silent;
use googletest::prelude::*;

const ANY: net::SocketAddr =
    net::SocketAddr::V4(net::SocketAddrV4::new(net::Ipv4Addr::LOCALHOST, 0));
const WAIT: time::Duration = time::Duration::from_millis(300);

async fn call(client: &awc::Client, address: net::SocketAddr, id: &str) -> Option<plain::Echo> {
    let request = client.put(format!("http://{address}/credits/7?dry=1"));
    let sending = async {
        let mut response =
            request.insert_header((plain::CALL_ID, id)).send_body("12").await.ok()?;
        response.json().await.ok()
    };
    tokio::time::timeout(WAIT, sending).await.ok().flatten()
}

#[gtest]
#[actix_rt::test]
async fn a_call_is_echoed_and_counted() -> Result<()> {
    let plain = plain::Plain::new();
    let (server, address) = plain.serve(ANY)?;
    let mut echo = call(&strict::client(), address, "a").await.expect("an answer");
    echo.headers.retain(|name, _| name != "host" && name != "date");
    insta::assert_json_snapshot!("echo", echo);
    server.stop(false).await;
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn faults_strike_before_or_after_the_run() -> Result<()> {
    let plain = plain::Plain::new();
    let (server, address) = plain.serve(ANY)?;
    let none = plain::PlainFaults::default;
    let once = faults::Count::Times(1);
    let cases = [
        ("before", plain::PlainFaults { drop_before: once, ..none() }, (false, 0)),
        ("after", plain::PlainFaults { drop_after: once, ..none() }, (false, 1)),
        ("cut", plain::PlainFaults { cut_body: once, ..none() }, (false, 1)),
        ("delay", plain::PlainFaults { delay: WAIT * 2, ..none() }, (false, 0)),
        ("answer", plain::PlainFaults { answer_delay: WAIT * 2, ..none() }, (false, 1)),
        ("slow", plain::PlainFaults { body_time: WAIT / 3, ..none() }, (true, 1)),
        ("late", plain::PlainFaults { body_time: WAIT * 2, ..none() }, (false, 1)),
        ("freeze", plain::PlainFaults { freeze: true, ..none() }, (false, 0)),
        ("status", plain::PlainFaults { status: Some(500), ..none() }, (true, 1)),
    ];
    for (id, faults, expected) in cases {
        plain.set_faults(faults);
        let answered = call(&strict::client(), address, id).await.is_some();
        let runs = plain.counters().runs.get(id).copied().unwrap_or(0);
        verify_that!((answered, runs), eq(expected)).with_failure_message(|| id.to_owned())?;
    }
    server.stop(false).await;
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn a_silenced_connection_swallows_and_a_new_one_works() -> Result<()> {
    let plain = plain::Plain::new();
    let (server, address) = plain.serve(ANY)?;
    let proxy = silent::Proxy::start(ANY, address).await?;
    let client = strict::client();
    verify_that!(call(&client, proxy.address(), "a").await.is_some(), eq(true))?;
    proxy.silence_open();
    verify_that!(call(&client, proxy.address(), "b").await.is_some(), eq(false))?;
    verify_that!(call(&strict::client(), proxy.address(), "c").await.is_some(), eq(true))?;
    proxy.silence_all(true);
    verify_that!(call(&strict::client(), proxy.address(), "d").await.is_some(), eq(false))?;
    proxy.silence_all(false);
    verify_that!(call(&strict::client(), proxy.address(), "e").await.is_some(), eq(true))?;
    let ran: Vec<_> = plain.counters().runs.into_keys().collect();
    verify_that!(ran, eq(&["a", "c", "e"]))?;
    server.stop(false).await;
    Ok(())
}
