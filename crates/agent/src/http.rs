//! HTTP server through which entries submit, resume and cancel requests.

use std::io;
use std::net;
use std::sync;
use std::time;

use actix_web::web;
use azuregap_control::mailbox;
use azuregap_control::snapshot;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;
use azuregap_wire::codec;
use azuregap_wire::frame;
use azuregap_wire::run;
use bytes::Bytes;
use futures::stream;
use serde::de;
use tokio::sync::watch;

use crate::response;
use crate::scheduler;

/// Largest accepted request body, in bytes.
const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;

/// State shared by the HTTP handlers.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// Scheduler that runs the requests.
    pub scheduler: actix::Addr<scheduler::Scheduler>,
    /// Incarnation of the agent process.
    pub incarnation: ids::Incarnation,
    /// The configuration in force.
    pub configuration: snapshot::Handle,
    /// Receives notice of newer configuration versions.
    pub mailbox: mailbox::Mailbox,
    /// Current load of the agent.
    pub load: scheduler::SharedLoad,
    /// Interval between heartbeat frames while a response has no new data.
    pub heartbeat: time::Duration,
}

impl ServerState {
    fn agent_info(&self) -> response::AgentInfo {
        let load = *self.load.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let version = self.configuration.load().version;
        response::AgentInfo { incarnation: self.incarnation, version, load }
    }
}

/// Binds the server to `listen`.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn serve(state: ServerState, listen: net::SocketAddr) -> io::Result<actix_web::dev::Server> {
    let server = actix_web::HttpServer::new(move || {
        actix_web::App::new()
            .app_data(web::Data::new(state.clone()))
            .app_data(web::PayloadConfig::new(MAX_REQUEST_BYTES))
            .route(run::RUN_PATH, web::post().to(handle_run))
            .route(run::RESUME_PATH, web::post().to(handle_resume))
            .route(run::CANCEL_PATH, web::post().to(handle_cancel))
            .route("/healthz", web::get().to(actix_web::HttpResponse::Ok))
            .route("/readyz", web::get().to(actix_web::HttpResponse::Ok))
    });
    Ok(server.workers(1).disable_signals().bind(listen)?.run())
}

async fn handle_run(state: web::Data<ServerState>, body: Bytes) -> actix_web::HttpResponse {
    let request: run::RunRequest =
        match decode_message(&body, |request: &run::RunRequest| request.protocol) {
            Ok(request) => request,
            Err(refusal) => return refuse(&state, refusal),
        };
    let offset = request.offset;
    state.mailbox.observe_version(&request.entry, None, request.version);
    let result = state.scheduler.send(scheduler::Submit(request)).await;
    respond(&state, result, offset)
}

async fn handle_resume(state: web::Data<ServerState>, body: Bytes) -> actix_web::HttpResponse {
    let request = match decode_message(&body, |request: &run::ResumeRequest| request.protocol) {
        Ok(request) => request,
        Err(refusal) => return refuse(&state, refusal),
    };
    let offset = request.offset;
    let result = state.scheduler.send(scheduler::Resume(request)).await;
    respond(&state, result, offset)
}

async fn handle_cancel(state: web::Data<ServerState>, body: Bytes) -> actix_web::HttpResponse {
    match decode_message(&body, |request: &run::CancelRequest| request.protocol) {
        Ok(request) => {
            state.scheduler.do_send(scheduler::Cancel(request.id));
            actix_web::HttpResponse::NoContent().finish()
        }
        Err(refusal) => refuse(&state, refusal),
    }
}

/// Decodes a message and checks its protocol version.
fn decode_message<T: de::DeserializeOwned>(
    body: &[u8],
    protocol: impl Fn(&T) -> u16,
) -> Result<T, refusal::Refusal> {
    let message: T = decode_body(body)?;
    if protocol(&message) != azuregap_wire::PROTOCOL {
        let text = format!("protocol {} here", azuregap_wire::PROTOCOL);
        return Err(refusal::Refusal::not_run(code::Code::ProtocolMismatch, text));
    }
    Ok(message)
}

fn decode_body<T: de::DeserializeOwned>(body: &[u8]) -> Result<T, refusal::Refusal> {
    codec::decode_up_to(body, MAX_REQUEST_BYTES)
        .map_err(|error| refusal::Refusal::not_run(error.code(), error.to_string()))
}

type SubmitResult =
    Result<Result<sync::Arc<response::ResponseBuffer>, refusal::Refusal>, actix::MailboxError>;

fn respond(state: &ServerState, result: SubmitResult, offset: u64) -> actix_web::HttpResponse {
    match result {
        Ok(Ok(response)) => stream_response(state.clone(), response, offset),
        Ok(Err(refusal)) => refuse(state, refusal),
        Err(error) => {
            let refusal = refusal::Refusal::may_have_run(code::Code::Internal, error.to_string());
            refuse(state, refusal)
        }
    }
}

fn refuse(state: &ServerState, refusal: refusal::Refusal) -> actix_web::HttpResponse {
    let frame = response::refusal_frame(refusal, state.agent_info().load);
    match codec::write_frame(&frame) {
        Ok(bytes) => actix_web::HttpResponse::Ok().body(bytes),
        Err(error) => actix_web::HttpResponse::InternalServerError().body(error.to_string()),
    }
}

/// One connection that reads a response.
struct ResponseReader {
    state: ServerState,
    response: sync::Arc<response::ResponseBuffer>,
    cursor: response::Cursor,
    updates: watch::Receiver<()>,
}

impl ResponseReader {
    async fn next(&mut self) -> Option<frame::Frame> {
        loop {
            if self.cursor.is_ended() {
                return None;
            }
            self.updates.mark_unchanged();
            if let Some(frame) = self.response.next_frame(&mut self.cursor, self.state.agent_info())
            {
                return Some(frame);
            }
            let wait = tokio::time::timeout(self.state.heartbeat, self.updates.changed());
            if wait.await.is_err() {
                return Some(frame::Frame::Heartbeat { load: self.state.agent_info().load });
            }
        }
    }
}

fn stream_response(
    state: ServerState,
    response: sync::Arc<response::ResponseBuffer>,
    offset: u64,
) -> actix_web::HttpResponse {
    let updates = response.subscribe();
    let reader = ResponseReader { state, response, cursor: response::Cursor::new(offset), updates };
    let frames = stream::unfold(reader, |mut reader| async move {
        let frame = reader.next().await?;
        Some((codec::write_frame(&frame), reader))
    });
    actix_web::HttpResponse::Ok().streaming(frames)
}
