//! The caller API.

use std::io;
use std::time;

use actix_web::http;
use actix_web::web;
use azuregap_core::code;
use azuregap_core::intent;
use azuregap_core::refusal;
use azuregap_core::settings;
use azuregap_platform::objects;
use azuregap_platform::table;
use azuregap_wire::run;
use bytes::Bytes;
use futures::stream;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::agent_client;
use crate::claims;
use crate::dispatch;
use crate::refusal_response;
use crate::resolve;

/// Capacity of the queue of response events for a slow caller.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Time for running responses to finish when the entry stops.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 600;

/// State shared by the handlers of one HTTP worker.
#[derive(Clone, Debug)]
struct WorkerState {
    context: dispatch::EntryContext,
    client: agent_client::AgentClient,
    stores: claims::Stores,
    max_stale: time::Duration,
}

/// Starts the HTTP server with `settings`.
///
/// # Errors
///
/// When the listen address can't be bound.
pub fn serve(
    context: dispatch::EntryContext,
    settings: &settings::EntrySettings,
) -> io::Result<actix_web::dev::Server> {
    let (platform, max_stale) = (settings.platform.clone(), settings.max_stale);
    let server = actix_web::HttpServer::new(move || {
        let client = agent_client::AgentClient::default();
        let stores = claims::Stores {
            table: table::Table::http(&platform.table, platform.timeout),
            objects: objects::Objects::http(&platform.objects, platform.timeout),
        };
        let state = WorkerState { context: context.clone(), client, stores, max_stale };
        actix_web::App::new()
            .app_data(web::Data::new(state))
            .app_data(web::PayloadConfig::new(intent::MAX_BODY))
            .route("/healthz", web::get().to(actix_web::HttpResponse::Ok))
            .route("/readyz", web::get().to(readyz))
            .route("/v1/models", web::get().to(list_models))
            .default_service(web::to(handle_request))
    });
    let server = server
        .workers(settings.workers)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
        .disable_signals();
    Ok(server.bind(settings.listen)?.run())
}

async fn readyz(state: web::Data<WorkerState>) -> actix_web::HttpResponse {
    if state.context.configuration.load().version == 0 {
        return actix_web::HttpResponse::ServiceUnavailable().body("no configuration yet");
    }
    actix_web::HttpResponse::Ok().finish()
}

/// List of models in the format of the OpenAI API.
#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Debug, Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

async fn list_models(
    request: actix_web::HttpRequest,
    state: web::Data<WorkerState>,
) -> actix_web::HttpResponse {
    let configuration = state.context.configuration.load();
    let key = request.headers().get(http::header::AUTHORIZATION);
    let key = key.and_then(|value| value.to_str().ok());
    if let Err(refusal) = resolve::authenticate(&configuration, key) {
        return refusal_response::build(&refusal, rand::random());
    }
    let models =
        configuration.intent.pools.iter().filter(|pool| pool.kind == intent::PoolKind::Model);
    let entry = |pool: &intent::Pool| ModelEntry {
        id: pool.name.clone(),
        object: "model",
        owned_by: "azuregap",
    };
    let list = ModelList { object: "list", data: models.map(entry).collect() };
    actix_web::HttpResponse::Ok().json(list)
}

async fn handle_request(
    request: actix_web::HttpRequest,
    body: Result<Bytes, actix_web::Error>,
    state: web::Data<WorkerState>,
) -> actix_web::HttpResponse {
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            let refusal = refusal::Refusal::not_run(code::Code::BodyTooLarge, error.to_string());
            return refusal_response::build(&refusal, rand::random());
        }
    };
    let incoming = incoming_request(&request, body);
    let configuration = state.context.configuration.load();
    let now = tokio::time::Instant::now();
    let router = &state.context.router;
    let estimate =
        |route: &str, class: &str, bytes, limit| router.estimate_cost(route, class, bytes, limit);
    let job = resolve::resolve_job(&configuration, &incoming, now, estimate).and_then(|job| {
        if job.key_digest.is_some() { check_staleness(&state, job) } else { Ok(job) }
    });
    let job = match job {
        Ok(job) => job,
        Err(refusal) => {
            state.context.metrics.count("refusals", "none", refusal.code.number());
            return log_and_refuse(&refusal, rand::random());
        }
    };
    let id = job.id;
    let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let runner = dispatch::JobRunner::new(state.context.clone(), state.client.clone(), job, sender);
    actix_rt::spawn(runner.run(state.stores.clone()));
    send_response(events, id).await
}

/// Refuses a request when the configuration is too old to show whether its key was withdrawn.
fn check_staleness(
    state: &WorkerState,
    job: crate::job::Job,
) -> Result<crate::job::Job, refusal::Refusal> {
    let age = state.context.configuration.age();
    if age <= state.max_stale {
        return Ok(job);
    }
    let text = format!("the configuration was last confirmed {} s ago", age.as_secs());
    Err(refusal::Refusal::not_run(code::Code::ConfigurationStale, text)
        .retry_after(state.max_stale))
}

fn log_and_refuse(refusal: &refusal::Refusal, id: u128) -> actix_web::HttpResponse {
    tracing::info!(
        request = format!("{id:032x}"),
        decision = "refused",
        code = refusal.code.number(),
        not_run = refusal.not_run,
        why = refusal.message,
        "routing decision"
    );
    refusal_response::build(refusal, id)
}

fn incoming_request(request: &actix_web::HttpRequest, body: Bytes) -> resolve::IncomingRequest {
    let headers = request.headers().iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(run::Header { name: name.as_str().to_owned(), value })
    });
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
    resolve::IncomingRequest {
        method: request.method().to_string(),
        path: request.path().to_owned(),
        target: target.to_owned(),
        headers: headers.collect(),
        body,
    }
}

/// Waits for the start of the response and streams the rest.
async fn send_response(
    mut events: mpsc::Receiver<dispatch::ResponseEvent>,
    id: u128,
) -> actix_web::HttpResponse {
    match events.recv().await {
        Some(dispatch::ResponseEvent::Full(response)) => {
            response_builder(response.status, &response.headers, id).body(response.body)
        }
        Some(dispatch::ResponseEvent::Head { status, headers }) => {
            response_builder(status, &headers, id).streaming(body_stream(events, id))
        }
        Some(dispatch::ResponseEvent::Failed(refusal)) => log_and_refuse(&refusal, id),
        Some(dispatch::ResponseEvent::Data(_) | dispatch::ResponseEvent::End) | None => {
            let text = "the answer has no start";
            log_and_refuse(&refusal::Refusal::may_have_run(code::Code::Internal, text), id)
        }
    }
}

fn response_builder(
    status: u16,
    headers: &[run::Header],
    id: u128,
) -> actix_web::HttpResponseBuilder {
    let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let mut response = actix_web::HttpResponse::build(status);
    for header in headers {
        response.append_header((header.name.as_str(), header.value.as_str()));
    }
    response.insert_header((refusal_response::REQUEST_ID_HEADER, format!("{id:032x}")));
    response
}

/// Body of a streamed response. A failure is sent as an event named `error`, and the connection is
/// then aborted, so that no caller takes the response for a complete one.
fn body_stream(
    events: mpsc::Receiver<dispatch::ResponseEvent>,
    id: u128,
) -> impl stream::Stream<Item = Result<Bytes, io::Error>> {
    stream::unfold((events, None), move |(mut events, pending_error)| async move {
        if let Some(error) = pending_error {
            tokio::task::yield_now().await;
            return Some((Err(error), (events, None)));
        }
        match events.recv().await? {
            dispatch::ResponseEvent::Data(bytes) => Some((Ok(bytes), (events, None))),
            dispatch::ResponseEvent::Failed(refusal) => {
                let body = serde_json::to_string(&refusal_response::RefusalBody::new(&refusal, id))
                    .ok()?;
                tracing::info!(
                    request = format!("{id:032x}"),
                    decision = "cut",
                    code = refusal.code.number(),
                    why = refusal.message,
                    "routing decision"
                );
                let text = format!("event: error\ndata: {body}\n\n");
                let error = io::Error::other(refusal);
                Some((Ok(Bytes::from(text)), (events, Some(error))))
            }
            _ => None,
        }
    })
}
