//! The engine over HTTP.

use std::io;
use std::net;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::body;
use actix_web::dev;
use actix_web::web;
use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream;
use tokio::sync::mpsc;
use tokio::task;

use super::driver;
use super::faults;
use super::orders;
use super::request;
use super::settings;
use super::text;
use crate::http;

/// Header with the id of the request.
const REQUEST_ID: &str = "x-request-id";

/// Header with the priority, 0 first.
const PRIORITY: &str = "x-priority";

/// Header with the number of answer bytes the caller already has.
const RESUME_OFFSET: &str = "x-resume-offset";

/// Serves a new engine over HTTP at `listen`.
///
/// # Errors
///
/// When `listen` cannot be bound.
pub fn serve(
    listen: net::SocketAddr,
    settings: settings::Settings,
) -> io::Result<(dev::ServerHandle, net::SocketAddr)> {
    driver::Engine::start(settings).serve(listen)
}

impl driver::Engine {
    /// Serves this engine over HTTP at `listen`.
    ///
    /// # Errors
    ///
    /// When `listen` cannot be bound.
    pub fn serve(
        &self,
        listen: net::SocketAddr,
    ) -> io::Result<(dev::ServerHandle, net::SocketAddr)> {
        http::serve(self.clone(), routes, listen)
    }
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .app_data(web::JsonConfig::default().limit(http::MAX_BODY))
        .route("/v1/chat/completions", web::post().to(complete))
        .route("/v1/completions", web::post().to(complete))
        .route("/v1/models", web::get().to(models))
        .route("/cancel/{id}", web::post().to(cancel))
        .route("/load", web::get().to(load))
        .route("/orders", web::post().to(order))
        .route("/orders/log", web::get().to(order_log))
        .route("/kv", web::get().to(export_cache))
        .route("/kv", web::post().to(import_cache))
        .route("/counters", web::get().to(counters))
        .route("/faults/engine", web::post().to(set_faults));
}

type Shared = web::Data<driver::Engine>;

async fn complete(
    engine: Shared,
    http_request: HttpRequest,
    body: web::Json<request::Body>,
) -> HttpResponse {
    if !engine.is_up().await {
        return http::dropped();
    }
    if engine.fails() {
        return failure(500, "the engine failed");
    }
    let streamed = body.stream;
    let answer = body.into_inner().answer();
    if !engine.has_model(&answer.model) {
        return failure(404, "no such model");
    }
    let offset = header(&http_request, RESUME_OFFSET).unwrap_or(0);
    let id = http_request.headers().get(REQUEST_ID).and_then(|id| id.to_str().ok());
    let (skip, cut) = if streamed { answer.split(offset) } else { (0, 0) };
    let job = request::Job {
        id: id.unwrap_or_default().to_owned(),
        priority: header(&http_request, PRIORITY).and_then(|p| p.try_into().ok()).unwrap_or(0),
        skip,
        answer: answer.clone(),
    };
    let events = engine.submit(job);
    if streamed {
        return stream_answer(answer, events, cut);
    }
    whole_answer(&answer, events, offset).await
}

/// An answer as server-sent events, without the first `cut` bytes of the first one.
fn stream_answer(
    answer: text::Answer,
    events: mpsc::UnboundedReceiver<request::Event>,
    cut: usize,
) -> HttpResponse {
    let parts = stream::unfold((events, false), move |(mut events, ended)| {
        let answer = answer.clone();
        async move {
            if ended {
                return None;
            }
            let part = match events.recv().await {
                Some(request::Event::Token(i)) => Ok((answer.event(i), false)),
                Some(request::Event::End) => Ok((answer.tail(), true)),
                None => {
                    // The server flushes the head and the parts before while the body is pending.
                    task::yield_now().await;
                    Err(io::Error::from(io::ErrorKind::ConnectionReset))
                }
            };
            let ended = !matches!(part, Ok((_, false)));
            Some((part.map(|(bytes, _)| bytes), (events, ended)))
        }
    });
    let parts = parts.scan(cut, |left, part| {
        let skipped = part.map(|bytes: Bytes| {
            let skip = bytes.len().min(std::mem::take(left));
            bytes.slice(skip..)
        });
        futures::future::ready(Some(skipped))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .body(body::BodyStream::new(parts.boxed_local()))
}

async fn whole_answer(
    answer: &text::Answer,
    mut events: mpsc::UnboundedReceiver<request::Event>,
    offset: u64,
) -> HttpResponse {
    loop {
        match events.recv().await {
            Some(request::Event::Token(_)) => {}
            Some(request::Event::End) => break,
            None => return http::dropped(),
        }
    }
    let document = answer.document();
    let skip = document.len().min(usize::try_from(offset).unwrap_or(usize::MAX));
    HttpResponse::Ok().content_type("application/json").body(document.slice(skip..))
}

fn header(request: &HttpRequest, name: &str) -> Option<u64> {
    request.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn failure(status: u16, message: &str) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).unwrap_or_default();
    HttpResponse::build(status).json(serde_json::json!({"error": {"message": message}}))
}

async fn models(engine: Shared) -> HttpResponse {
    let _ = engine.is_up().await;
    HttpResponse::Ok().json(serde_json::json!({"object": "list", "role": engine.role()}))
}

async fn cancel(engine: Shared, id: web::Path<String>) -> HttpResponse {
    if !engine.is_up().await {
        return http::dropped();
    }
    HttpResponse::Ok().json(serde_json::json!({"cancelled": engine.cancel(&id)}))
}

async fn load(engine: Shared) -> HttpResponse {
    if !engine.is_up().await {
        return http::dropped();
    }
    HttpResponse::Ok().json(engine.reported_load())
}

async fn order(engine: Shared, order: web::Json<orders::EngineOrder>) -> HttpResponse {
    if !engine.is_up().await {
        return http::dropped();
    }
    match engine.order(order.into_inner()).await {
        true => HttpResponse::Ok().json(serde_json::json!({"taken": true})),
        false => failure(409, "the fencing number is old"),
    }
}

async fn order_log(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(engine.order_log())
}

async fn export_cache(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(engine.export_cache())
}

async fn import_cache(engine: Shared, blocks: web::Json<Vec<u64>>) -> HttpResponse {
    engine.import_cache(blocks.into_inner());
    HttpResponse::NoContent().finish()
}

async fn counters(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(engine.counters())
}

async fn set_faults(engine: Shared, faults: web::Json<faults::EngineFaults>) -> HttpResponse {
    engine.set_faults(faults.into_inner());
    HttpResponse::NoContent().finish()
}
