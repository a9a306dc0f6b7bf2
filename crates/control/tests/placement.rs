//! Planned stops, orders to agents and the order filter of agents.

mod support;

use std::cell;
use std::collections;
use std::rc;
use std::time;

use azuregap_control::configuration;
use azuregap_control::holder;
use azuregap_control::orders;
use azuregap_control::peer_client;
use azuregap_control::placement;
use azuregap_control::snapshot;
use azuregap_coordination::lease;
use azuregap_core::code;
use azuregap_platform::error;
use azuregap_platform::orders as calls;
use azuregap_policy::plan;
use azuregap_standins::platform;
use azuregap_wire::control;
use azuregap_wire::frame;
use futures::future;
use googletest::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;

/// State that an agent reports in its response to `DrainState`.
#[derive(Clone, Copy, Debug)]
struct Remaining {
    running: u32,
    unflushed: u64,
    /// Whether the agent has the newest configuration.
    up_to_date: bool,
}

const NOTHING: Remaining = Remaining { running: 0, unflushed: 0, up_to_date: true };

/// State of each agent by the name of its backend server; `None` for an agent that does not
/// respond.
type Agents = rc::Rc<cell::RefCell<collections::BTreeMap<String, Option<Remaining>>>>;

/// Orders sent to agents, with the time of sending.
type Sends = rc::Rc<cell::RefCell<Vec<(Instant, control::Order)>>>;

fn answer(platform: &platform::Platform, left: Remaining) -> control::Message {
    let load = frame::Load { running: left.running, ..frame::Load::default() };
    let body = control::Body::Draining { load, unflushed: left.unflushed };
    let version = support::current(platform).version;
    let version = if left.up_to_date { version } else { version - 1 };
    support::agent("agent", 1).message(version, body)
}

fn senders(platform: &platform::Platform, sends: &Sends) -> orders::OrderSenders {
    let sends = sends.clone();
    orders::OrderSenders::new(platform.orders.client(support::TIMEOUT), move |_, order| {
        sends.borrow_mut().push((Instant::now(), order));
        async { Ok(()) }
    })
}

/// Runs one lease holder concurrently with `events`, for at most `span`.
async fn run(
    platform: &platform::Platform,
    agents: &Agents,
    span: time::Duration,
    events: impl Future<Output = googletest::Result<()>>,
) -> googletest::Result<()> {
    let process = support::entry("a", 1);
    let table = platform.table.client(support::TIMEOUT);
    let holder = holder::LeaseHandle::new("control", &process, lease::Timing::default());
    let (_resign, resigned) = watch::channel(false);
    let (snapshot, unresolved) =
        (snapshot::Handle::default(), configuration::UnresolvedChanges::default());
    let source = configuration::Source::new(table.clone(), snapshot, unresolved);
    let (asked, known) = (platform.clone(), agents.clone());
    let client = peer_client::PeerClient::new(move |backend, _| {
        let left = known.borrow().get(&backend).copied().unwrap_or(Some(NOTHING));
        let answer = left.map(|left| answer(&asked, left));
        async move { answer }
    });
    let vms = platform.vms.client(support::TIMEOUT);
    let senders = senders(platform, &Sends::default());
    let mut reconciler = placement::Reconciler::new(holder.clone(), source, vms, client, senders)
        .clock(support::clock());
    let acting = async {
        loop {
            let _ = reconciler.reconcile().await;
            tokio::time::sleep(time::Duration::from_millis(500)).await;
        }
    };
    let work = future::join3(
        holder::keep(holder, table, resigned),
        acting,
        support::boot(platform, time::Duration::from_secs(1)),
    );
    let both = future::select(Box::pin(events), Box::pin(work));
    match tokio::time::timeout(span, both).await? {
        future::Either::Left((result, _)) => result,
        future::Either::Right(_) => panic!("the entry tasks never finish"),
    }
}

/// Stores an intent with `replicas` as the next configuration version.
fn declare(platform: &platform::Platform, replicas: u32) {
    let mut row = support::current(platform);
    let mut intent = support::intent(replicas, 3);
    intent.leaving = row.intent().unwrap().leaving;
    row.version += 1;
    row.text = serde_json::to_string(&intent).unwrap();
    support::put(platform, &row);
}

fn running(platform: &platform::Platform) -> Vec<String> {
    platform.orders.with(|state| state.running().keys().cloned().collect())
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < time::Duration::from_secs(200), "timed out waiting until {what}");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn planned_stop_waits_for_requests_and_usage_records() -> googletest::Result<()> {
    let platform = platform::Platform::new();
    support::seed(&platform, &support::intent(3, 3));
    let agents = Agents::default();
    let events = async {
        until("three run", || running(&platform).len() == 3).await;
        tokio::time::sleep(time::Duration::from_secs(5)).await;
        for left in [
            Remaining { running: 1, ..NOTHING },
            Remaining { unflushed: 1, ..NOTHING },
            Remaining { up_to_date: false, ..NOTHING },
        ] {
            let all = running(&platform).into_iter().map(|name| (name, Some(left)));
            *agents.borrow_mut() = all.collect();
            declare(&platform, 2);
            tokio::time::sleep(time::Duration::from_secs(60)).await;
            verify_that!(running(&platform).len(), eq(3))
                .with_failure_message(|| format!("{left:?}"))?;
            verify_that!(support::current(&platform).intent()?.leaving.len(), eq(1))?;
        }
        agents.borrow_mut().clear();
        until("one is stopped", || running(&platform).len() == 2).await;
        let removed = || support::current(&platform).intent().unwrap().leaving.is_empty();
        until("it is removed from the leaving list", removed).await;
        tokio::time::sleep(time::Duration::from_secs(30)).await;
        verify_that!(platform.orders.with(|state| state.log().len()), eq(4))
    };
    run(&platform, &agents, time::Duration::from_secs(900), events).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn leaving_backend_with_silent_agent_is_stopped_after_timeout() -> googletest::Result<()> {
    let platform = platform::Platform::new();
    support::seed(&platform, &support::intent(2, 3));
    let agents = Agents::default();
    let events = async {
        until("two run", || running(&platform).len() == 2).await;
        tokio::time::sleep(time::Duration::from_secs(5)).await;
        *agents.borrow_mut() = running(&platform).into_iter().map(|name| (name, None)).collect();
        declare(&platform, 1);
        tokio::time::sleep(time::Duration::from_secs(20)).await;
        verify_that!(running(&platform).len(), eq(2))?;
        until("one is stopped", || running(&platform).len() == 1).await;
        Ok(())
    };
    run(&platform, &agents, time::Duration::from_secs(900), events).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn nothing_is_ordered_without_vm_list() -> googletest::Result<()> {
    let platform = platform::Platform::new();
    support::seed(&platform, &support::intent(2, 3));
    platform.vms.set_faults(azuregap_standins::faults::Faults::new().outage(true));
    let agents = Agents::default();
    let events = async {
        tokio::time::sleep(time::Duration::from_secs(30)).await;
        verify_that!(running(&platform), is_empty())
    };
    run(&platform, &agents, time::Duration::from_secs(60), events).await
}

fn load(id: &str, fence: u64) -> control::Order {
    let action = control::Action::Load { name: "advisor".to_owned(), version: "2".to_owned() };
    control::Order { id: id.to_owned(), fence, action }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn demand_estimate_starts_at_current_replicas_and_decays_slowly() -> googletest::Result<()> {
    let mut intent = support::intent(1, 9);
    intent.pools[0].max_replicas = 9;
    intent.routes.push(azuregap_core::intent::Route {
        name: "chat".to_owned(),
        prefix: "/v1/".to_owned(),
        methods: Vec::new(),
        pool: "advisor".to_owned(),
        class: "chat".to_owned(),
        open: false,
        idempotent: true,
        require_key: false,
        max_body: 1,
    });
    let backends: Vec<_> = (0..4)
        .map(|i| plan::Backend {
            name: i.to_string(),
            pool: "advisor".to_owned(),
            zone: "north".to_owned(),
            state: plan::BackendState::Running,
        })
        .collect();
    let demand_tracker = placement::DemandTracker::default();
    let planned_steps = || {
        demand_tracker.observe(&intent, &backends, Instant::now());
        let demand = demand_tracker.demand(&intent);
        let inputs = plan::Inputs::new(&intent).backends(&backends).demand(&demand);
        plan::plan(&inputs).steps.len()
    };
    verify_that!(planned_steps(), eq(0))?;
    tokio::time::advance(time::Duration::from_secs(60)).await;
    verify_that!(planned_steps(), eq(0))?;
    tokio::time::advance(time::Duration::from_secs(3_600)).await;
    verify_that!(planned_steps(), eq(3))?;
    let load = frame::Load { running: 8, waiting: 16, slots: 8, backlog: 0 };
    demand_tracker.record_load("0", "advisor", load);
    demand_tracker.observe(&intent, &backends, Instant::now());
    verify_that!(demand_tracker.demand(&intent)[0].rate, near(3_000.0, 1.0))
}

#[gtest]
fn order_filter_rejects_old_fences_and_executes_order_once() -> googletest::Result<()> {
    let mut filter = orders::OrderFilter::default();
    verify_that!(filter.admit(&load("one", 2)), eq(orders::Admission::Execute))?;
    verify_that!(filter.admit(&load("one", 2)), eq(orders::Admission::Duplicate))?;
    verify_that!(filter.admit(&load("one", 3)), eq(orders::Admission::Duplicate))?;
    let refused = orders::Admission::Reject(code::Code::FenceOld);
    verify_that!(filter.admit(&load("two", 2)), eq(refused))?;
    verify_that!(filter.admit(&load("one", 2)), eq(refused))?;
    verify_that!(filter.admit(&load("two", 3)), eq(orders::Admission::Execute))?;
    filter.forget(&"two".to_owned());
    verify_that!(filter.admit(&load("two", 3)), eq(orders::Admission::Execute))
}

/// Runs `work` with the dispatcher of a process that holds the lease.
async fn with_dispatcher(
    platform: &platform::Platform,
    senders: orders::OrderSenders,
    work: impl AsyncFnOnce(&mut orders::OrderDispatcher, u64),
) {
    let process = support::entry("a", 1);
    let table = platform.table.client(support::TIMEOUT);
    let holder = holder::LeaseHandle::new("control", &process, lease::Timing::default());
    let (_resign, resigned) = watch::channel(false);
    let mut dispatcher = orders::OrderDispatcher::new(holder.clone(), table.clone(), senders);
    let working = async {
        let fence = loop {
            match holder.fencing_token() {
                Some(fence) => break fence,
                None => tokio::time::sleep(time::Duration::from_millis(50)).await,
            }
        };
        work(&mut dispatcher, fence).await;
    };
    let keeping = holder::keep(holder.clone(), table, resigned);
    future::select(Box::pin(working), Box::pin(keeping)).await;
}

fn agent_order(id: &str) -> orders::OrderRow {
    orders::OrderRow {
        id: id.to_owned(),
        fence: 1,
        backend: "server".to_owned(),
        zone: "north".to_owned(),
        action: orders::OrderAction::Agent(load(id, 1).action),
        state: orders::OrderState::Open,
        made: 0,
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn model_loads_are_rate_limited() -> googletest::Result<()> {
    let platform = platform::Platform::new();
    support::seed(&platform, &support::intent(0, 0));
    let sends = Sends::default();
    with_dispatcher(&platform, senders(&platform, &sends), async |dispatcher, fence| {
        let orders = ["one", "two", "three"].map(agent_order);
        dispatcher.write(fence, 1, &orders).await.unwrap();
        for _ in 0..30 {
            let mut rows = dispatcher.read_rows(fence).await.unwrap();
            dispatcher.send_open(fence, &mut rows).await;
            tokio::time::sleep(time::Duration::from_millis(500)).await;
        }
    })
    .await;
    let sends = sends.borrow();
    verify_that!(sends.len(), eq(3))?;
    for pair in sends.windows(2) {
        verify_that!(pair[1].0 - pair[0].0, ge(time::Duration::from_secs(5)))?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn order_is_resent_with_same_id_after_lost_response() -> googletest::Result<()> {
    let platform = platform::Platform::new();
    support::seed(&platform, &support::intent(0, 0));
    let sent: rc::Rc<cell::RefCell<Vec<calls::ZoneOrder>>> = rc::Rc::default();
    let log = sent.clone();
    let lossy = calls::Orders::new(move |order: calls::ZoneOrder| {
        log.borrow_mut().push(order.clone());
        let answered = log.borrow().len() > 3;
        async move {
            if answered {
                return Ok(calls::OrderTaken { id: order.id, repeated: true });
            }
            Err(error::PlatformError::Unknown("lost".to_owned()))
        }
    });
    let senders = orders::OrderSenders::new(lossy, |_, _| async { Ok(()) });
    with_dispatcher(&platform, senders, async |dispatcher, fence| {
        let action = orders::OrderAction::Start { pool: "advisor".to_owned() };
        let order = orders::OrderRow { action, ..agent_order("one") };
        dispatcher.write(fence, 1, &[order]).await.unwrap();
        for _ in 0..6 {
            let mut rows = dispatcher.read_rows(fence).await.unwrap();
            dispatcher.send_open(fence, &mut rows).await;
        }
    })
    .await;
    let sent = sent.borrow();
    verify_that!(sent.len(), eq(4))?;
    verify_that!(sent.iter().all(|order| order.id == "one"), eq(true))
}
