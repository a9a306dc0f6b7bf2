//! Admission, deduplication, cancellation and order execution in the scheduler.

use std::time;

use actix::Actor as _;
use actix_web::web;
use azuregap_agent::backend;
use azuregap_agent::response;
use azuregap_agent::scheduler;
use azuregap_control::process;
use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_core::settings;
use azuregap_standins::plain;
use azuregap_wire::control;
use azuregap_wire::run;
use googletest::prelude::*;
use serde_json::json;

type SubmitResult = std::result::Result<std::sync::Arc<response::ResponseBuffer>, refusal::Refusal>;

/// How long an ended run is retained.
const RETENTION: time::Duration = time::Duration::from_secs(10);

/// Longer than the retention of tombstones.
const PAST_TOMBSTONES: time::Duration = time::Duration::from_secs(21 * 60);

/// A scheduler whose backend server is a plain service that counts its runs.
struct Fixture {
    scheduler: actix::Addr<scheduler::Scheduler>,
    plain: plain::Plain,
    incarnation: u64,
}

impl Fixture {
    fn new() -> Self {
        let plain = plain::Plain::new();
        let (_, address) = plain.serve("127.0.0.1:0".parse().unwrap()).unwrap();
        Self::with_backend(plain, &format!("http://{address}"))
    }

    fn with_backend(plain: plain::Plain, base_url: &str) -> Self {
        let settings: settings::AgentSettings = serde_json::from_value(json!({
            "node": "agent", "zone": "perth-north", "backend": "billing-0", "pool": "billing-app",
            "engine": base_url, "model": false, "checks_fence": false,
            "listen": "127.0.0.1:1", "control": "127.0.0.1:2",
            "platform": { "table": base_url, "objects": base_url, "orders": base_url,
                "usage": base_url, "vms": base_url, "timeout_ms": 1000 },
            "slots": 1, "queue": 4, "heartbeat_ms": 500, "keep_ms": RETENTION.as_millis() as u64,
            "window_s": 60
        }))
        .unwrap();
        let process = process::Process::new("agent", "perth-north", "", control::Role::Entry);
        let incarnation = process.peer.incarnation;
        let dependencies = scheduler::Dependencies {
            backend: backend::BackendClient::new(base_url, false),
            settings,
            process,
            configuration: Default::default(),
            recorder: Default::default(),
            load: Default::default(),
            orders: Default::default(),
            metrics: azuregap_control::metrics::Metrics::new("agent", None),
        };
        Self { scheduler: scheduler::Scheduler::new(dependencies).start(), plain, incarnation }
    }

    fn request(&self, id: u128) -> run::RunRequest {
        run::RunRequest {
            protocol: azuregap_wire::PROTOCOL,
            id,
            incarnation: self.incarnation,
            entry: "entry".into(),
            version: 0,
            team: "team".into(),
            class: "credits".into(),
            tier: 0,
            route: "credits".into(),
            idempotent: false,
            cost: 1,
            deadline: PAST_TOMBSTONES * 2,
            offset: 0,
            method: "POST".into(),
            path: "/credits".into(),
            headers: Vec::new(),
            body: id.to_string().into(),
        }
    }

    async fn submit(&self, id: u128) -> SubmitResult {
        self.scheduler.send(scheduler::Submit(self.request(id))).await.unwrap()
    }

    async fn resume(&self, id: u128, recent: bool) -> SubmitResult {
        let (protocol, incarnation) = (azuregap_wire::PROTOCOL, self.incarnation);
        let request = run::ResumeRequest { protocol, id, incarnation, offset: 0, recent };
        self.scheduler.send(scheduler::Resume(request)).await.unwrap()
    }

    /// Submits a request and waits until its response ended.
    async fn complete(&self, id: u128) -> std::sync::Arc<response::ResponseBuffer> {
        let response = self.submit(id).await.unwrap();
        let mut changed = response.subscribe();
        while !response.is_ended() {
            changed.changed().await.unwrap();
        }
        response
    }

    fn run_count(&self) -> u64 {
        self.plain.counters().total
    }
}

/// Code of a refusal, and whether it states that the request did not run.
fn refusal_of(result: SubmitResult) -> Option<(code::Code, bool)> {
    result.err().map(|refusal| (refusal.code, refusal.not_run))
}

/// Pauses the clock and advances virtual time by `span`.
async fn advance_time(span: time::Duration) {
    tokio::time::pause();
    tokio::time::sleep(span).await;
}

#[gtest]
#[actix_rt::test]
async fn requests_with_the_same_id_share_one_run() -> Result<()> {
    let fixture = Fixture::new();
    let (first, second) = futures::join!(fixture.complete(1), fixture.complete(1));
    verify_that!(std::sync::Arc::ptr_eq(&first, &second), eq(true))?;
    let third = fixture.submit(1).await.unwrap();
    let resumed = fixture.resume(1, false).await.unwrap();
    for other in [third, resumed] {
        verify_that!(std::sync::Arc::ptr_eq(&first, &other), eq(true))?;
    }
    verify_that!(fixture.run_count(), eq(1))
}

#[gtest]
#[actix_rt::test]
async fn id_reported_as_not_run_is_refused_when_submitted_later() -> Result<()> {
    let fixture = Fixture::new();
    verify_that!(
        refusal_of(fixture.resume(1, true).await),
        some(eq((code::Code::RunUnknown, true)))
    )?;
    verify_that!(refusal_of(fixture.submit(1).await), some(eq((code::Code::RunUnknown, true))))?;
    verify_that!(
        refusal_of(fixture.resume(1, false).await),
        some(eq((code::Code::RunUnknown, true)))
    )?;
    verify_that!(fixture.run_count(), eq(0))
}

#[gtest]
#[actix_rt::test]
async fn request_for_another_incarnation_is_refused_and_its_resume_may_have_run() -> Result<()> {
    let mut fixture = Fixture::new();
    fixture.incarnation ^= 1;
    verify_that!(refusal_of(fixture.submit(1).await), some(eq((code::Code::RunUnknown, true))))?;
    verify_that!(
        refusal_of(fixture.resume(1, true).await),
        some(eq((code::Code::RunUnknown, false)))
    )?;
    verify_that!(fixture.run_count(), eq(0))
}

#[gtest]
#[actix_rt::test]
async fn resume_of_a_dropped_run_returns_unknown_outcome() -> Result<()> {
    let fixture = Fixture::new();
    fixture.complete(1).await;
    advance_time(RETENTION * 2).await;
    let unknown = (code::Code::OutcomeUnknown, false);
    verify_that!(refusal_of(fixture.resume(1, true).await), some(eq(unknown)))
}

#[gtest]
#[actix_rt::test]
async fn resubmission_of_a_dropped_run_returns_unknown_outcome() -> Result<()> {
    let fixture = Fixture::new();
    fixture.complete(1).await;
    advance_time(RETENTION * 2).await;
    let unknown = (code::Code::OutcomeUnknown, false);
    verify_that!(refusal_of(fixture.submit(1).await), some(eq(unknown)))?;
    verify_that!(fixture.run_count(), eq(1))
}

#[gtest]
#[actix_rt::test]
async fn after_a_tombstone_expired_only_recent_ids_are_reported_as_not_run() -> Result<()> {
    let fixture = Fixture::new();
    fixture.complete(1).await;
    advance_time(RETENTION + PAST_TOMBSTONES).await;
    let unknown = (code::Code::OutcomeUnknown, false);
    verify_that!(refusal_of(fixture.resume(1, false).await), some(eq(unknown)))?;
    verify_that!(refusal_of(fixture.resume(2, false).await), some(eq(unknown)))?;
    verify_that!(
        refusal_of(fixture.resume(3, true).await),
        some(eq((code::Code::RunUnknown, true)))
    )
}

#[gtest]
#[actix_rt::test]
async fn cancel_drops_queued_requests_and_keeps_running_non_idempotent_ones() -> Result<()> {
    let fixture = Fixture::new();
    fixture.plain.set_faults(plain::PlainFaults { freeze: true, ..Default::default() });
    let first = fixture.submit(1).await.unwrap();
    let second = fixture.submit(2).await.unwrap();
    for id in [1, 2] {
        fixture.scheduler.send(scheduler::Cancel(id)).await.unwrap();
    }
    verify_that!((first.is_ended(), second.is_ended()), eq((false, true)))?;
    verify_that!((first.may_have_run(), second.may_have_run()), eq((true, false)))?;
    fixture.plain.set_faults(plain::PlainFaults::default());
    fixture.complete(1).await;
    verify_that!(fixture.run_count(), eq(1))
}

/// The backend server does not check fencing tokens, so a newer order must not overtake an older
/// one.
#[gtest]
#[actix_rt::test]
async fn orders_execute_one_at_a_time_in_admission_order() -> Result<()> {
    let executed: std::sync::Arc<std::sync::Mutex<Vec<u64>>> = Default::default();
    let seen = executed.clone();
    let server = actix_web::HttpServer::new(move || {
        let seen = seen.clone();
        let order = move |order: web::Json<control::Order>| {
            let seen = seen.clone();
            async move {
                let slow = if order.fence == 1 { 300 } else { 0 };
                tokio::time::sleep(time::Duration::from_millis(slow)).await;
                seen.lock().unwrap().push(order.fence);
                actix_web::HttpResponse::Ok().finish()
            }
        };
        actix_web::App::new().route("/orders", web::post().to(order))
    });
    let server = server.workers(1).disable_signals().bind("127.0.0.1:0").unwrap();
    let fixture =
        Fixture::with_backend(plain::Plain::new(), &format!("http://{}", server.addrs()[0]));
    actix_rt::spawn(server.run());
    let orders = [1, 2].map(|fence| {
        let action = control::Action::Role("decode".into());
        fixture.scheduler.send(scheduler::ExecuteOrder(control::Order {
            id: fence.to_string(),
            fence,
            action,
        }))
    });
    futures::future::join_all(orders).await;
    let executed = executed.lock().unwrap().clone();
    verify_that!(executed, elements_are![eq(&1), eq(&2)])
}
