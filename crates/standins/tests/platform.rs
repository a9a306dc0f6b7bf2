//! Every client of the platform with its stand-in, in process and over HTTP.

use std::net;
use std::time;

use azuregap_platform::error;
use azuregap_platform::objects;
use azuregap_platform::orders;
use azuregap_platform::table;
use azuregap_platform::usage;
use azuregap_platform::vms;
use azuregap_standins::faults;
use azuregap_standins::platform;
use azuregap_standins::service;
use bytes::Bytes;
use googletest::prelude::*;
use serde_json::json;

const ANY: net::SocketAddr =
    net::SocketAddr::V4(net::SocketAddrV4::new(net::Ipv4Addr::LOCALHOST, 0));
const WAIT: time::Duration = time::Duration::from_secs(1);

/// Clients of one platform, however they reach it.
struct Clients {
    table: table::Table,
    objects: objects::Objects,
    orders: orders::Orders,
    usage: usage::UsageIntake,
    vms: vms::Vms,
}

fn in_process(platform: &platform::Platform) -> Clients {
    Clients {
        table: platform.table.client(WAIT),
        objects: platform.objects.client(WAIT),
        orders: platform.orders.client(WAIT),
        usage: platform.reports.client(WAIT),
        vms: platform.vms.client(WAIT),
    }
}

fn over_http(address: net::SocketAddr) -> Clients {
    let base = format!("http://{address}");
    Clients {
        table: table::Table::http(&base, WAIT),
        objects: objects::Objects::http(&base, WAIT),
        orders: orders::Orders::http(&base, WAIT),
        usage: usage::UsageIntake::http(&base, WAIT),
        vms: vms::Vms::http(&base, WAIT),
    }
}

fn start(backend: &str, id: &str, fence: u64) -> orders::ZoneOrder {
    let action =
        orders::ZoneAction::Start { backend: backend.to_owned(), pool: "advisor".to_owned() };
    orders::ZoneOrder { id: id.to_owned(), fence, zone: "perth-north".to_owned(), action }
}

fn report(window: u64, fence: u64, text: &'static str) -> usage::UsageReport {
    usage::UsageReport { window, fence, text: Bytes::from_static(text.as_bytes()) }
}

fn vm(name: &str) -> vms::Vm {
    vms::Vm {
        name: name.to_owned(),
        zone: "perth-north".to_owned(),
        kind: vms::VmKind::Entry,
        control: "127.0.0.1:1".to_owned(),
        leaving: false,
    }
}

/// One line for each call of a fixed conversation with the platform.
async fn conversation(platform: &platform::Platform, clients: &Clients) -> Vec<String> {
    let table = &clients.table;
    let insert = || table::Transaction::new().check("a/1", 0).put("a/1", json!(1));
    let both = table::Transaction::new()
        .check("a/1", 1)
        .check("a/2", 7)
        .put("a/1", json!(2))
        .put("a/2", json!(2));
    let more = table::Transaction::new().put("a/2", json!(2)).put("b/1", json!(3)).delete("a/1");
    platform.vms.with(|state| state.add(vm("entry-1")));
    vec![
        format!("insert {:?}", table.commit(insert()).await),
        format!("insert again {:?}", table.commit(insert()).await),
        format!("one failed condition {:?}", table.commit(both).await),
        format!("nothing of it applied {:?}", table.scan("a/", "", 10).await),
        format!("several {:?}", table.commit(more).await),
        format!("deleted {:?}", table.read("a/1").await),
        format!("scan {:?}", table.scan("", "a/2", 10).await),
        format!("scan of one {:?}", table.scan("a/", "", 1).await),
        format!("put {:?}", clients.objects.put("o", vec![0, 255]).await),
        format!("read {:?}", clients.objects.read("o").await),
        format!("absent {:?}", clients.objects.read("p").await),
        format!("order {:?}", clients.orders.send(start("b-1", "o-1", 2)).await),
        format!("order again {:?}", clients.orders.send(start("b-1", "o-1", 2)).await),
        format!("old order {:?}", clients.orders.send(start("b-2", "o-2", 1)).await),
        format!("report {:?}", clients.usage.send(report(5, 2, "figures")).await),
        format!("vms {:?}", clients.vms.list().await),
    ]
}

#[gtest]
#[actix_rt::test]
async fn both_ways_to_the_platform_give_the_same_answers() -> Result<()> {
    let inner = platform::Platform::new();
    let in_process = conversation(&inner, &in_process(&inner)).await;
    let outer = platform::Platform::new();
    let (server, address) = platform::serve(ANY, outer.clone())?;
    verify_that!(conversation(&outer, &over_http(address)).await, eq(&in_process))?;
    insta::assert_snapshot!("conversation", in_process.join("\n"));
    server.stop(false).await;
    Ok(())
}

/// Outcome of an insert and whether it took effect, under one set of faults.
async fn insert_under(
    platform: &platform::Platform,
    clients: &Clients,
    faults: faults::Faults,
) -> (&'static str, bool) {
    platform.table.with(|state| *state = Default::default());
    platform.table.set_faults(faults);
    let insert = table::Transaction::new().check("k", 0).put("k", json!(1));
    let outcome = match clients.table.commit(insert).await {
        Ok(_) => "applied",
        Err(error::PlatformError::Refused(_)) => "refused",
        Err(error::PlatformError::Unknown(_)) => "unknown",
    };
    // A call that was frozen takes effect as soon as the freeze ends.
    let took_effect = platform.table.with(|state| state.rows().count() == 1);
    platform.table.set_faults(faults::Faults::new());
    (outcome, took_effect)
}

#[gtest]
#[actix_rt::test]
async fn faults_do_what_they_say() -> Result<()> {
    // Calls that their callers gave up go on, so each way has a platform of its own.
    for is_remote in [false, true] {
        let platform = platform::Platform::new();
        let (server, address) = platform::serve(ANY, platform.clone())?;
        let clients = if is_remote { over_http(address) } else { in_process(&platform) };
        let none = faults::Faults::new;
        let cases = [
            (none(), ("applied", true)),
            (none().lose(1), ("unknown", true)),
            (none().lose(1).spare(1), ("applied", true)),
            (none().outage(true), ("unknown", false)),
            (none().refuse(true), ("refused", false)),
            (none().answer_delay(2 * WAIT), ("unknown", true)),
            (none().freeze(true), ("unknown", false)),
        ];
        for (faults, expected) in cases {
            let seen = insert_under(&platform, &clients, faults.clone()).await;
            verify_that!(seen, eq(expected)).with_failure_message(|| format!("{faults:?}"))?;
        }
        server.stop(false).await;
    }
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn a_server_that_is_not_there_refuses() -> Result<()> {
    let (server, address) = platform::serve(ANY, platform::Platform::new())?;
    server.stop(false).await;
    let outcome = over_http(address).table.read("k").await;
    verify_that!(matches!(outcome, Err(error::PlatformError::Refused(_))), eq(true))
}

#[gtest]
#[actix_rt::test]
async fn a_connection_closed_without_a_word_leaves_the_outcome_unknown() -> Result<()> {
    let listener = tokio::net::TcpListener::bind(ANY).await?;
    let address = listener.local_addr()?;
    let closing = async {
        let (mut connection, _) = listener.accept().await?;
        let mut buffer = [0; 4096];
        tokio::io::AsyncReadExt::read(&mut connection, &mut buffer).await
    };
    let clients = over_http(address);
    let (closed, outcome) = futures::join!(closing, clients.orders.send(start("b-1", "o-1", 1)));
    verify_that!(closed?, gt(0))?;
    verify_that!(matches!(outcome, Err(error::PlatformError::Unknown(_))), eq(true))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_delayed_call_takes_effect_after_its_caller_gave_up() -> Result<()> {
    let platform = platform::Platform::new();
    let clients = in_process(&platform);
    let slow = faults::Faults::new().delay(2 * WAIT);
    verify_that!(insert_under(&platform, &clients, slow).await, eq(("unknown", false)))?;
    tokio::time::sleep(2 * WAIT).await;
    verify_that!(platform.table.with(|state| state.rows().count()), eq(1))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_vm_list_lags_and_a_stale_one_stays() -> Result<()> {
    let platform = platform::Platform::new().vm_lag(time::Duration::from_secs(10));
    let clients = in_process(&platform);
    let names = async || clients.vms.list().await.unwrap().vms.len();
    platform.vms.with(|state| state.add(vm("entry-1")));
    verify_that!(names().await, eq(0))?;
    tokio::time::sleep(time::Duration::from_secs(10)).await;
    verify_that!(names().await, eq(1))?;
    platform.vms.set_faults(faults::Faults::new().stale(true));
    platform.vms.with(|state| state.remove("entry-1"));
    tokio::time::sleep(time::Duration::from_secs(60)).await;
    verify_that!(names().await, eq(1))?;
    platform.vms.set_faults(faults::Faults::new());
    verify_that!(names().await, eq(0))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_judges_see_old_fencing_numbers_and_differing_reports() -> Result<()> {
    let platform = platform::Platform::new();
    let checking = platform::Platform::new().check_fences();
    let clients = in_process(&platform);
    for report in [report(1, 1, "a"), report(1, 2, "a"), report(2, 2, "b"), report(2, 1, "c")] {
        clients.usage.send(report).await?;
    }
    platform.reports.with(|state| {
        verify_that!(state.differing(), elements_are![eq(&2)])?;
        verify_that!(state.regressions(), elements_are![eq(&report(2, 1, "c"))])
    })?;
    for platform in [&platform, &checking] {
        let clients = in_process(platform);
        let _ = clients.orders.send(start("b-1", "o-1", 2)).await;
        let _ = clients.orders.send(start("b-2", "o-2", 1)).await;
        verify_that!(platform.orders.with(|state| state.regressions()).len(), eq(1))?;
    }
    verify_that!(platform.orders.with(|state| state.running().len()), eq(2))?;
    verify_that!(checking.orders.with(|state| state.running().len()), eq(1))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_call_goes_on_when_its_caller_is_dropped() -> Result<()> {
    let table: service::Service<u32> = service::Service::default();
    let add = |state: &mut u32| {
        *state += 1;
        Ok(())
    };
    let call = table.call_within(time::Duration::ZERO, service::Effect::Change, add);
    verify_that!(matches!(call.await, Err(error::PlatformError::Unknown(_))), eq(true))?;
    // The call waits for the next tick of the clock.
    tokio::time::sleep(time::Duration::from_millis(1)).await;
    verify_that!(table.with(|state| *state), eq(1))
}

#[gtest]
#[actix_rt::test]
async fn switches_and_judges_are_there_over_http() -> Result<()> {
    let platform = platform::Platform::new();
    let (server, address) = platform::serve(ANY, platform.clone())?;
    let client = azuregap_platform::strict::client();
    let post = async |name: &str, body: serde_json::Value| {
        let url = format!("http://{address}/faults/{name}");
        client.post(url).send_json(&body).await.unwrap().status().as_u16()
    };
    let switches = json!({"lost_answer": true, "delay_ms": 5, "outage": true, "freeze": false});
    verify_that!(post("table", switches).await, eq(204))?;
    verify_that!(platform.table.faults().outage, eq(true))?;
    verify_that!(post("orders", json!({"lost_answer": 3})).await, eq(204))?;
    verify_that!(platform.orders.faults().lost_answer, eq(faults::Count::Times(3)))?;
    verify_that!(post("weather", json!({})).await, eq(404))?;
    verify_that!(post("table", json!({"typo": 1})).await, eq(400))?;
    verify_that!(over_http(address).orders.send(start("b-1", "o-1", 1)).await, err(anything()))?;
    let mut log = client.get(format!("http://{address}/orders/log")).send().await.unwrap();
    insta::assert_json_snapshot!("log", log.json::<serde_json::Value>().await.unwrap());
    server.stop(false).await;
    Ok(())
}
