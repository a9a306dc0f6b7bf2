//! Agents with scripted responses, and an entry that forwards requests to them.

use std::net;
use std::sync;
use std::time;

use actix_web::web;
use azuregap_control::directory;
use azuregap_control::mailbox;
use azuregap_control::metrics;
use azuregap_control::process;
use azuregap_control::snapshot;
use azuregap_control::usage;
use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_core::settings;
use azuregap_entry::agent_client;
use azuregap_entry::claims;
use azuregap_entry::dispatch;
use azuregap_entry::job;
use azuregap_entry::resolve;
use azuregap_entry::router;
use azuregap_standins::platform;
use azuregap_wire::codec;
use azuregap_wire::control;
use azuregap_wire::frame;
use azuregap_wire::run;
use tokio::sync::mpsc;

const INTENT: &str = include_str!("../../../../examples/swan-coastal/intent.json");

const INCARNATION: u64 = 7;

const TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Returns the response frames for a run, numbered from 1 over all agents, or for a resume
/// (`None`). Without frames the agent never responds.
pub(crate) type Script = fn(Option<usize>, u128) -> Vec<frame::Frame>;

/// Numbers of calls to all agents.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Calls {
    pub(crate) runs: usize,
    pub(crate) resumes: usize,
}

type SharedCalls = sync::Arc<sync::Mutex<Calls>>;

async fn respond(frames: Vec<frame::Frame>) -> actix_web::HttpResponse {
    if frames.is_empty() {
        std::future::pending::<()>().await;
    }
    let body: Vec<_> = frames.iter().map(|frame| codec::write_frame(frame).unwrap()).collect();
    actix_web::HttpResponse::Ok().body(body.concat())
}

fn serve(script: Script, calls: SharedCalls) -> net::SocketAddr {
    let server = actix_web::HttpServer::new(move || {
        let (runs, resumes) = (calls.clone(), calls.clone());
        let run = move |body: web::Bytes| {
            let request: run::RunRequest = codec::decode(&body).unwrap();
            let mut calls = runs.lock().unwrap();
            calls.runs += 1;
            respond(script(Some(calls.runs), request.id))
        };
        let resume = move |body: web::Bytes| {
            let request: run::ResumeRequest = codec::decode(&body).unwrap();
            resumes.lock().unwrap().resumes += 1;
            respond(script(None, request.id))
        };
        actix_web::App::new()
            .route(run::RUN_PATH, web::post().to(run))
            .route(run::RESUME_PATH, web::post().to(resume))
    });
    let server = server.workers(1).disable_signals().shutdown_timeout(0);
    let server = server.bind("127.0.0.1:0").unwrap();
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    address
}

/// An entry with agents of the pool `billing-app`, which share one script.
pub(crate) struct Entry {
    pub(crate) context: dispatch::EntryContext,
    pub(crate) platform: platform::Platform,
    calls: SharedCalls,
}

impl Entry {
    pub(crate) fn new(names: &[&str], script: Script) -> Self {
        let calls = SharedCalls::default();
        let agents = names.iter().map(|name| directory::Agent {
            node: (*name).into(),
            incarnation: INCARNATION,
            zone: "perth-north".into(),
            backend: (*name).into(),
            pool: "billing-app".into(),
            runs: serve(script, calls.clone()).to_string(),
            control: String::new(),
            leaving: false,
        });
        let process = process::Process::new("entry", "perth-north", "", control::Role::Entry);
        let context = dispatch::EntryContext {
            node: "entry".into(),
            configuration: snapshot::Handle::default(),
            directory: directory::Directory::default(),
            mailbox: mailbox::Mailbox::new(process),
            router: router::Router::new("entry", "perth-north"),
            usage_copies: usage::Copies::default(),
            usage_windows: usage::Windows::system(time::Duration::from_secs(60)),
            idle_timeout: TIMEOUT,
            metrics: metrics::Metrics::new("entry", None),
        };
        let intent = settings::from_text(INTENT).unwrap();
        context.configuration.advance(snapshot::Snapshot::new(1, intent));
        context.directory.replace(agents.collect());
        Self { context, platform: platform::Platform::new(), calls }
    }

    /// An idempotent lookup on a route that needs no API key.
    pub(crate) fn job(&self) -> job::Job {
        let path = "/billing-app/notes/1";
        let incoming = resolve::IncomingRequest {
            method: "GET".into(),
            path: path.into(),
            target: path.into(),
            headers: Vec::new(),
            body: web::Bytes::new(),
        };
        let now = tokio::time::Instant::now();
        let configuration = self.context.configuration.load();
        resolve::resolve_job(&configuration, &incoming, now, |_, _, _, _| 1).unwrap()
    }

    /// Runs `job` to its end and returns the last event that is sent to the caller's connection.
    pub(crate) async fn run(&self, job: job::Job) -> dispatch::ResponseEvent {
        let (sender, mut events) = mpsc::channel(16);
        let client = agent_client::AgentClient::default();
        let runner = dispatch::JobRunner::new(self.context.clone(), client, job, sender);
        let table = self.platform.table.client(TIMEOUT);
        let objects = self.platform.objects.client(TIMEOUT);
        runner.run(claims::Stores { table, objects }).await;
        let mut last_event = None;
        while let Some(event) = events.recv().await {
            last_event = Some(event);
        }
        last_event.unwrap()
    }

    pub(crate) fn calls(&self) -> Calls {
        *self.calls.lock().unwrap()
    }
}

const LOAD: frame::Load = frame::Load { running: 1, waiting: 0, slots: 64, backlog: 0 };

pub(crate) const fn accepted(id: u128) -> frame::Frame {
    frame::Frame::Accepted { id, incarnation: INCARNATION, version: 1, load: LOAD }
}

pub(crate) fn response_frames(id: u128, text: &'static str, length: u64) -> Vec<frame::Frame> {
    let bytes = web::Bytes::from_static(text.as_bytes());
    let usage = frame::Usage::default();
    vec![
        accepted(id),
        frame::Frame::Head { status: 200, headers: Vec::new() },
        frame::Frame::Data { offset: 0, bytes },
        frame::Frame::End { length, usage, load: LOAD },
    ]
}

pub(crate) fn refused(refusal: refusal::Refusal) -> frame::Frame {
    frame::Frame::Refused { refusal, load: LOAD }
}

pub(crate) fn interrupted() -> refusal::Refusal {
    refusal::Refusal::may_have_run(code::Code::BackendFailed, "the service crashed")
}

/// Error code and not-run flag of a failure; `None` for any other event.
pub(crate) fn failure(event: &dispatch::ResponseEvent) -> Option<(code::Code, bool)> {
    let dispatch::ResponseEvent::Failed(refusal) = event else { return None };
    Some((refusal.code, refusal.not_run))
}
