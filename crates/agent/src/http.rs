//! The HTTP side of the agent, where entries ask for runs.

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

use crate::answer;
use crate::desk;

/// Largest request taken from an entry, in bytes.
const MAX_REQUEST: usize = 64 * 1024 * 1024;

/// What the handlers share.
#[derive(Clone, Debug)]
pub struct Front {
    /// The desk.
    pub desk: actix::Addr<desk::Desk>,
    /// Incarnation of this agent.
    pub incarnation: ids::Incarnation,
    /// The configuration in force.
    pub configuration: snapshot::Handle,
    /// Hears of newer configurations.
    pub mailbox: mailbox::Mailbox,
    /// The agent's load.
    pub load: desk::SharedLoad,
    /// Time between two heartbeats on a running answer.
    pub heartbeat: time::Duration,
}

impl Front {
    fn teller(&self) -> answer::Teller {
        let load = *self.load.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let version = self.configuration.load().version;
        answer::Teller { incarnation: self.incarnation, version, load }
    }
}

/// Starts the server at `listen`.
///
/// # Errors
///
/// When the address cannot be listened on.
pub fn serve(front: Front, listen: net::SocketAddr) -> io::Result<actix_web::dev::Server> {
    let server = actix_web::HttpServer::new(move || {
        actix_web::App::new()
            .app_data(web::Data::new(front.clone()))
            .app_data(web::PayloadConfig::new(MAX_REQUEST))
            .route(run::RUN_PATH, web::post().to(take_run))
            .route(run::RESUME_PATH, web::post().to(take_resume))
            .route(run::CANCEL_PATH, web::post().to(take_cancel))
            .route("/healthz", web::get().to(actix_web::HttpResponse::Ok))
            .route("/readyz", web::get().to(actix_web::HttpResponse::Ok))
    });
    Ok(server.workers(1).disable_signals().bind(listen)?.run())
}

async fn take_run(front: web::Data<Front>, body: Bytes) -> actix_web::HttpResponse {
    let request: run::RunRequest = match read(&body, |request: &run::RunRequest| request.protocol) {
        Ok(request) => request,
        Err(refusal) => return refuse(&front, refusal),
    };
    let offset = request.offset;
    front.mailbox.observe_version(&request.entry, None, request.version);
    let result = front.desk.send(desk::Submit(request)).await;
    respond(&front, result, offset)
}

async fn take_resume(front: web::Data<Front>, body: Bytes) -> actix_web::HttpResponse {
    let request = match read(&body, |request: &run::ResumeRequest| request.protocol) {
        Ok(request) => request,
        Err(refusal) => return refuse(&front, refusal),
    };
    let offset = request.offset;
    let result = front.desk.send(desk::Resume(request)).await;
    respond(&front, result, offset)
}

async fn take_cancel(front: web::Data<Front>, body: Bytes) -> actix_web::HttpResponse {
    match read(&body, |request: &run::CancelRequest| request.protocol) {
        Ok(request) => {
            front.desk.do_send(desk::Cancel(request.id));
            actix_web::HttpResponse::NoContent().finish()
        }
        Err(refusal) => refuse(&front, refusal),
    }
}

/// Decodes a message and checks its protocol version.
fn read<T: de::DeserializeOwned>(
    body: &[u8],
    protocol: impl Fn(&T) -> u16,
) -> Result<T, refusal::Refusal> {
    let message: T = postcard_body(body)?;
    if protocol(&message) != azuregap_wire::PROTOCOL {
        let text = format!("protocol {} here", azuregap_wire::PROTOCOL);
        return Err(refusal::Refusal::not_run(code::Code::ProtocolMismatch, text));
    }
    Ok(message)
}

fn postcard_body<T: de::DeserializeOwned>(body: &[u8]) -> Result<T, refusal::Refusal> {
    codec::decode_up_to(body, MAX_REQUEST)
        .map_err(|error| refusal::Refusal::not_run(error.code(), error.to_string()))
}

type Taken = Result<Result<sync::Arc<answer::Answer>, refusal::Refusal>, actix::MailboxError>;

fn respond(front: &Front, result: Taken, offset: u64) -> actix_web::HttpResponse {
    match result {
        Ok(Ok(answer)) => stream_answer(front.clone(), answer, offset),
        Ok(Err(refusal)) => refuse(front, refusal),
        Err(error) => {
            let refusal = refusal::Refusal::may_have_run(code::Code::Internal, error.to_string());
            refuse(front, refusal)
        }
    }
}

fn refuse(front: &Front, refusal: refusal::Refusal) -> actix_web::HttpResponse {
    let frame = answer::refused(refusal, front.teller().load);
    match codec::write_frame(&frame) {
        Ok(bytes) => actix_web::HttpResponse::Ok().body(bytes),
        Err(error) => actix_web::HttpResponse::InternalServerError().body(error.to_string()),
    }
}

/// One connection that reads an answer.
struct Reader {
    front: Front,
    answer: sync::Arc<answer::Answer>,
    cursor: answer::Cursor,
    changed: watch::Receiver<()>,
}

impl Reader {
    async fn next(&mut self) -> Option<frame::Frame> {
        loop {
            if self.cursor.is_ended() {
                return None;
            }
            self.changed.mark_unchanged();
            if let Some(frame) = self.answer.next_frame(&mut self.cursor, self.front.teller()) {
                return Some(frame);
            }
            let wait = tokio::time::timeout(self.front.heartbeat, self.changed.changed());
            if wait.await.is_err() {
                return Some(frame::Frame::Heartbeat { load: self.front.teller().load });
            }
        }
    }
}

fn stream_answer(
    front: Front,
    answer: sync::Arc<answer::Answer>,
    offset: u64,
) -> actix_web::HttpResponse {
    let changed = answer.watch();
    let reader = Reader { front, answer, cursor: answer::Cursor::new(offset), changed };
    let frames = stream::unfold(reader, |mut reader| async move {
        let frame = reader.next().await?;
        Some((codec::write_frame(&frame), reader))
    });
    actix_web::HttpResponse::Ok().streaming(frames)
}
