//! The intent API over HTTP, with every control service of an entry and of an agent running.

mod support;

use std::net;
use std::time;

use azuregap_control::configuration;
use azuregap_control::holder;
use azuregap_control::intent_api;
use azuregap_control::mailbox;
use azuregap_control::membership;
use azuregap_control::placement;
use azuregap_control::process;
use azuregap_control::reports;
use azuregap_control::usage;
use azuregap_core::key;
use azuregap_core::settings;
use azuregap_kernel::kernel;
use azuregap_platform::vms;
use azuregap_standins::platform;
use azuregap_wire::control;
use googletest::prelude::*;
use serde_json::json;

const KEY: &str = "operator-key";
const WINDOW: time::Duration = time::Duration::from_secs(60);

fn free_address() -> net::SocketAddr {
    net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn platform_settings(address: net::SocketAddr) -> settings::PlatformSettings {
    let base = format!("http://{address}");
    settings::PlatformSettings {
        table: base.clone(),
        objects: base.clone(),
        orders: base.clone(),
        usage: base.clone(),
        vms: base,
        timeout: time::Duration::from_secs(2),
    }
}

fn entry_settings(platform: settings::PlatformSettings) -> settings::EntrySettings {
    let operator = settings::OperatorKey { name: "ann".to_owned(), digest: key::Digest::of(KEY) };
    settings::EntrySettings {
        node: "entry".to_owned(),
        zone: "north".to_owned(),
        listen: free_address(),
        operators: free_address(),
        control: free_address(),
        platform,
        operator_keys: vec![operator],
        workers: 1,
        silence: time::Duration::from_secs(1),
        max_stale: time::Duration::from_secs(4),
        window: WINDOW,
        statsd: None,
    }
}

fn entry(settings: &settings::EntrySettings) -> kernel::Kernel {
    let (node, zone) = (settings.node.clone(), settings.zone.clone());
    let process = process::Process::new(node, zone, settings.control, control::Role::Entry);
    let platform = &settings.platform;
    kernel::Kernel::new()
        .service(mailbox::service(process.clone()))
        .service(configuration::service(process.clone(), platform))
        .service(membership::service(process.clone(), platform))
        .service(holder::service(process.clone(), platform))
        .service(usage::copies_service(process, platform, WINDOW))
        .service(reports::service(platform, WINDOW))
        .service(placement::service(platform))
        .service(intent_api::service(settings))
}

fn agent_role() -> control::Role {
    control::Role::Agent {
        backend: "server".to_owned(),
        pool: "advisor".to_owned(),
        run_address: "127.0.0.1:1".to_owned(),
    }
}

fn backend_vm(control: net::SocketAddr) -> vms::Vm {
    vms::Vm {
        name: "server".to_owned(),
        zone: "north".to_owned(),
        kind: vms::VmKind::Backend { pool: "advisor".to_owned() },
        control: control.to_string(),
        leaving: false,
    }
}

struct Operator {
    client: awc::Client,
    base: String,
}

impl Operator {
    async fn call(
        &self,
        method: awc::http::Method,
        path: &str,
        body: Option<serde_json::Value>,
    ) -> (u16, serde_json::Value) {
        let request = self.client.request(method, format!("{}{path}", self.base));
        let request = request.bearer_auth(KEY).timeout(time::Duration::from_secs(10));
        let mut response = match body {
            Some(body) => request.send_json(&body).await.unwrap(),
            None => request.send().await.unwrap(),
        };
        (response.status().as_u16(), response.json().await.unwrap())
    }

    async fn post(&self, path: &str, body: serde_json::Value) -> (u16, serde_json::Value) {
        self.call(awc::http::Method::POST, path, Some(body)).await
    }

    async fn get(&self, path: &str) -> (u16, serde_json::Value) {
        self.call(awc::http::Method::GET, path, None).await
    }
}

fn start_platform() -> (platform::Platform, settings::PlatformSettings) {
    let stand_in = platform::Platform::new();
    let (_server, address) = platform::serve(free_address(), stand_in.clone()).unwrap();
    (stand_in, platform_settings(address))
}

#[gtest]
#[actix_rt::test]
async fn operator_confirms_plan_and_manages_keys() -> googletest::Result<()> {
    let (stand_in, platform) = start_platform();
    let settings = entry_settings(platform);
    let mut kernel = entry(&settings);
    kernel.start().await?;
    let base = format!("http://{}", settings.operators);
    let operator = Operator { client: awc::Client::default(), base };

    let (status, plan) = operator.post("/v1/plans", json!(support::intent(2, 2))).await;
    verify_that!(status, eq(201))?;
    verify_that!(plan["steps"].as_array().unwrap().len(), eq(2))?;
    verify_that!(plan["cost"]["per_hour"], eq(&json!(2)))?;
    let confirm = format!("/v1/plans/{}/confirm", plan["id"].as_str().unwrap());
    let (_, other) = operator.post("/v1/plans", json!(support::intent(1, 2))).await;
    let (status, first) = operator.post(&confirm, json!({})).await;
    verify_that!(status, eq(200))?;
    let (status, again) = operator.post(&confirm, json!({})).await;
    verify_that!(status, eq(200))?;
    verify_that!(again, eq(&first))?;
    let late = format!("/v1/plans/{}/confirm", other["id"].as_str().unwrap());
    let (status, conflict) = operator.post(&late, json!({})).await;
    verify_that!(status, eq(409))?;
    verify_that!(conflict["code"], eq(&json!(4002)))?;
    verify_that!(conflict["by"], eq(&json!("ann")))?;

    let digest = json!(key::Digest::of("caller-key"));
    let (status, given) =
        operator.post("/v1/keys", json!({ "team": "acme", "digest": digest })).await;
    verify_that!(status, eq(201))?;
    verify_that!(given, eq(&json!({ "version": 2 })))?;
    let path = format!("/v1/keys/{}", digest.as_str().unwrap());
    let (status, taken) = operator.call(awc::http::Method::DELETE, &path, None).await;
    verify_that!(status, eq(200))?;
    verify_that!(taken, eq(&json!({ "version": 3 })))?;
    let (_, intent) = operator.get("/v1/intent").await;
    verify_that!(intent["version"], eq(&json!(3)))?;
    verify_that!(intent["intent"]["keys"][0]["withdrawn"], eq(&json!(true)))?;

    let (status, plans) = operator.get("/v1/plans").await;
    verify_that!((status, plans.as_array().unwrap().len()), eq((200, 2)))?;
    let (status, _) = operator.get("/v1/plans/none").await;
    verify_that!(status, eq(404))?;
    let (status, usage) = operator.get("/v1/usage").await;
    verify_that!(status, eq(200))?;
    verify_that!(usage, eq(&json!([])))?;

    // The entry acquires the lease and executes the plan.
    let limit = tokio::time::Instant::now() + time::Duration::from_secs(60);
    while stand_in.orders.with(|state| state.running().len()) < 2 {
        verify_that!(tokio::time::Instant::now() < limit, eq(true))?;
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    let (_, status) = operator.get("/v1/status").await;
    verify_that!(status["holder"], eq(&json!("entry")))?;
    verify_that!(status["version"], eq(&json!(3)))?;
    kernel.stop().await;
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn invalid_requests_are_rejected_with_the_fault() -> googletest::Result<()> {
    let (_stand_in, platform) = start_platform();
    let settings = entry_settings(platform);
    let mut kernel = entry(&settings);
    kernel.start().await?;
    let base = format!("http://{}", settings.operators);
    let operator = Operator { client: awc::Client::default(), base: base.clone() };

    let denied = operator.client.get(format!("{base}/v1/status")).send().await.unwrap();
    verify_that!(denied.status().as_u16(), eq(401))?;
    let mut intent = json!(support::intent(2, 2));
    intent["zones"][0]["spend"] = json!("much");
    let (status, fault) = operator.post("/v1/plans", intent).await;
    verify_that!(status, eq(400))?;
    verify_that!(fault["faults"][0]["path"], eq(&json!("zones[0].spend")))?;
    let digest = json!(key::Digest::of("caller-key"));
    let (status, fault) =
        operator.post("/v1/keys", json!({ "team": "nobody", "digest": digest })).await;
    verify_that!(status, eq(400))?;
    verify_that!(fault["code"], eq(&json!(5005)))?;
    kernel.stop().await;
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn operator_order_is_sent_to_agent_by_lease_holder() -> googletest::Result<()> {
    let (stand_in, platform) = start_platform();
    support::seed(&stand_in, &support::intent(1, 1));
    let agent_control = free_address();
    stand_in.vms.with(|state| state.add(backend_vm(agent_control)));
    let agent = process::Process::new("agent", "north", agent_control, agent_role());
    let mut agent = kernel::Kernel::new().service(mailbox::service(agent));
    agent.start().await?;
    let taken = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let log = taken.clone();
    agent.registry().find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?.add_handler(
        move |message| {
            let control::Body::Order(order) = &message.body else { return None };
            log.lock().unwrap().push(order.clone());
            Some(control::Body::OrderDone { id: order.id.clone() })
        },
    );
    let settings = entry_settings(platform);
    let mut kernel = entry(&settings);
    kernel.start().await?;
    let base = format!("http://{}", settings.operators);
    let operator = Operator { client: awc::Client::default(), base };
    let load = json!({ "action": "load", "name": "advisor", "version": "2" });
    let path = "/v1/backends/server/orders";
    let limit = tokio::time::Instant::now() + time::Duration::from_secs(60);
    let order = loop {
        let (status, answer) = operator.post(path, load.clone()).await;
        if status == 201 {
            break answer;
        }
        // No entry holds the lease yet, or the VM list has not been read yet.
        verify_that!(answer["code"], any![eq(&json!(4005)), eq(&json!(5005))])?;
        verify_that!(tokio::time::Instant::now() < limit, eq(true))?;
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    };
    while operator.get("/v1/orders").await.1[0]["state"] != json!("taken") {
        verify_that!(tokio::time::Instant::now() < limit, eq(true))?;
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    let taken = taken.lock().unwrap().clone();
    verify_that!(taken.len(), eq(1))?;
    verify_that!(json!(taken[0].id), eq(&order["id"]))?;
    kernel.stop().await;
    agent.stop().await;
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn entry_discovers_agent_and_its_next_incarnation() -> googletest::Result<()> {
    let (stand_in, platform) = start_platform();
    let settings = entry_settings(platform.clone());
    let mut kernel = entry(&settings);
    kernel.start().await?;
    let directory =
        kernel.registry().find::<azuregap_control::directory::Directory>("directory")?;
    let control = free_address();
    stand_in.vms.with(|state| state.add(backend_vm(control)));
    for _ in 0..2 {
        let process = process::Process::new("agent", "north", control, agent_role());
        let incarnation = process.peer.incarnation;
        let mut agent = kernel::Kernel::new()
            .service(mailbox::service(process.clone()))
            .service(configuration::service(process.clone(), &platform))
            .service(membership::service(process.clone(), &platform))
            .service(usage::service(process, &platform, WINDOW));
        agent.start().await?;
        let limit = tokio::time::Instant::now() + time::Duration::from_secs(30);
        while !directory.load().iter().any(|agent| agent.incarnation == incarnation) {
            verify_that!(tokio::time::Instant::now() < limit, eq(true))?;
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        verify_that!(directory.load().len(), eq(1))?;
        // The agent knows its peers, so it doesn't need to read the table service itself.
        let own = agent.registry().find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
        while own.peers().is_empty() {
            verify_that!(tokio::time::Instant::now() < limit, eq(true))?;
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        agent.stop().await;
    }
    kernel.stop().await;
    Ok(())
}
