//! A small fake entry for the tests, and a way to run the command line.

mod run;

use std::io;
use std::sync;
use std::thread;
use std::time;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use futures::stream;
use futures::stream::StreamExt as _;
use serde_json::Value;
use serde_json::json;

pub(crate) use run::OPERATOR_KEY;
pub(crate) use run::run;
pub(crate) use run::run_with;

/// Time between the last byte of a broken answer and its break.
const BREAK: time::Duration = time::Duration::from_millis(20);

/// One request that the fake entry got.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Got {
    pub(crate) call: String,
    pub(crate) body: Value,
}

type Log = sync::Arc<sync::Mutex<Vec<Got>>>;

/// A fake entry on loopback; it ends with the test.
pub(crate) struct Fake {
    pub(crate) url: String,
    log: Log,
    handle: actix_web::dev::ServerHandle,
}

impl Fake {
    pub(crate) fn start() -> Self {
        let log = Log::default();
        let (started, wait) = sync::mpsc::channel();
        let shared = log.clone();
        thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                let server = actix_web::HttpServer::new(move || {
                    let shared = web::Data::new(shared.clone());
                    actix_web::App::new().app_data(shared).default_service(web::to(answer))
                });
                let server = server.workers(1).disable_signals().bind(("127.0.0.1", 0)).unwrap();
                let address = server.addrs()[0];
                let server = server.run();
                started.send((address, server.handle())).unwrap();
                server.await.unwrap();
            });
        });
        let (address, handle) = wait.recv().unwrap();
        Self { url: format!("http://{address}"), log, handle }
    }

    /// The requests so far.
    pub(crate) fn got(&self) -> Vec<Got> {
        self.log.lock().unwrap().clone()
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        drop(self.handle.stop(false));
    }
}

async fn answer(request: HttpRequest, body: web::Bytes, log: web::Data<Log>) -> HttpResponse {
    let call = format!("{} {}", request.method(), request.path());
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let got = Got { call: call.clone(), body };
    let repeated = log.lock().unwrap().contains(&got);
    let unsure = got.body["team"] == "unsure" && !repeated;
    log.lock().unwrap().push(got);
    let key = request.headers().get("authorization").map(|value| value.as_bytes());
    let header = |name: &str| Some(request.headers().get(name)?.to_str().ok()?.to_owned());
    match request.path() {
        "/v1/chat/completions" => completion(&header("x-azuregap-class").unwrap_or_default()),
        "/notes" => HttpResponse::Ok().body("notes"),
        _ if key != Some(format!("Bearer {OPERATOR_KEY}").as_bytes()) => {
            refuse(401, 4007, "no such operator")
        }
        _ if unsure => HttpResponse::ServiceUnavailable().json(json!({
            "code": 4001, "message": "the change may have been made", "unsettled": true,
        })),
        _ => operate(&call),
    }
}

fn operate(call: &str) -> HttpResponse {
    match call {
        "POST /v1/plans" => HttpResponse::Created().json(plan("open")),
        "GET /v1/plans/p-7" => HttpResponse::Ok().json(plan("confirmed")),
        "GET /v1/plans" => HttpResponse::Ok().json([plan("open"), plan("expired")]),
        "POST /v1/plans/p-7/confirm" => HttpResponse::Ok().json(json!({"plan": "p-7", "version": 5})),
        "POST /v1/plans/p-8/confirm" => refuse(410, 4003, "plan p-8 expired"),
        "POST /v1/plans/p-9/confirm" => HttpResponse::Conflict().json(json!({
            "code": 4002, "message": "version 5 by desk-deputy was accepted since",
            "advice": "make a new plan from the present version", "base": 4, "version": 5,
            "by": "desk-deputy", "changes": ["teams[0].weight"],
        })),
        "GET /v1/intent" => HttpResponse::Ok().json(json!({
            "version": 5, "by": "desk-lead",
            "intent": { "keys": [{ "digest": "ab".repeat(32), "team": "kelp-robotics", "withdrawn": false }] },
        })),
        "POST /v1/keys" => HttpResponse::Created().json(json!({ "version": 6 })),
        "GET /v1/status" => HttpResponse::Ok().json(json!({
            "node": "entry-1", "zone": "perth-north", "version": 6, "age_ms": 120,
            "holder": "entry-2", "fence": null,
            "agents": [{ "node": "agent-1", "incarnation": 77, "backend": "advisor-model-1",
                "pool": "advisor-model", "zone": "perth-north", "leaving": false }],
        })),
        "GET /v1/usage" => HttpResponse::Ok().json(json!([{ "window": 41, "state": "reported" }])),
        "GET /v1/usage/41" => HttpResponse::Ok().json(json!({
            "window": 41, "teams": [{ "team": "kelp-robotics", "requests": 3, "output": 96 }],
        })),
        call if call.starts_with("DELETE /v1/keys/") => {
            HttpResponse::Ok().json(json!({ "version": 7 }))
        }
        _ => refuse(404, 4004, "no such plan"),
    }
}

fn plan(state: &str) -> Value {
    json!({
        "id": "p-7", "base": 4, "by": "desk-lead", "state": state, "changes": ["teams[0].weight"],
        "steps": [
            { "action": "start", "backend": "advisor-model-10", "pool": "advisor-model",
              "zone": "perth-south", "reason": "demand", "cost": 3_600_000, "ready": true },
            { "action": "stop", "backend": "billing-app-4", "pool": "billing-app",
              "zone": "perth-east", "reason": "no demand", "cost": -4_000_000, "ready": true },
            { "action": "refuse", "pool": "billing-app", "zone": "perth-east",
              "reason": "over spend", "cost": 0, "ready": true },
        ],
        "cost": { "per_hour": 3_600_000, "zones": [
            { "zone": "perth-south", "cost": 3_600_000, "spend": 18_000_000 },
        ]},
        "attainment": [{ "pool": "advisor-model", "class": "summary", "tier": 0, "demand": 900.0,
            "served": 0.99 }],
        "expires": 1_767_226_500,
    })
}

fn refuse(status: u16, code: u16, message: &str) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).unwrap();
    HttpResponse::build(status).json(json!({ "code": code, "message": message }))
}

/// Each class of the load meets another fate.
fn completion(class: &str) -> HttpResponse {
    let event = |text: &str| format!("data: {{\"text\":\"{text}\"}}\n\n");
    match class {
        "whole" => HttpResponse::Ok().body(format!("{}{}data: [DONE]\n\n", event("a"), event("b"))),
        "cut" => HttpResponse::Ok().body(event("a")),
        "failed" => {
            let text = format!("{}event: error\ndata: {{\"code\":3003}}\n\n", event("a"));
            HttpResponse::Ok().streaming(broken(text))
        }
        _ => refuse(503, 2002, "queue full"),
    }
}

/// A body that breaks off after `text`, as that of an entry does after an error event.
fn broken(text: String) -> impl stream::Stream<Item = io::Result<web::Bytes>> {
    stream::iter([Ok(text.into()), Err(io::ErrorKind::ConnectionReset.into())]).then(
        |part: io::Result<web::Bytes>| async move {
            if part.is_err() {
                tokio::time::sleep(BREAK).await;
            }
            part
        },
    )
}
