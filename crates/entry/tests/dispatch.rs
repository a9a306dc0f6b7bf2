//! Jobs followed to their end before agents that answer by script.

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
use azuregap_entry::claims;
use azuregap_entry::dispatch;
use azuregap_entry::identify;
use azuregap_entry::link;
use azuregap_entry::router;
use azuregap_platform::objects;
use azuregap_platform::table;
use azuregap_wire::codec;
use azuregap_wire::control;
use azuregap_wire::frame;
use azuregap_wire::run;
use googletest::prelude::*;
use tokio::sync::mpsc;

const INTENT: &str = include_str!("../../../examples/swan-coastal/intent.json");

const INCARNATION: u64 = 7;

const LIMIT: time::Duration = time::Duration::from_secs(1);

/// Frames that answer the call of this number, counted over all agents; `None` for a resume.
type Script = fn(Option<usize>, u128) -> Vec<frame::Frame>;

/// What came to the agents.
#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    runs: usize,
    resumes: usize,
}

type SharedCalls = sync::Arc<sync::Mutex<Calls>>;

fn bytes(frames: &[frame::Frame]) -> actix_web::HttpResponse {
    let body: Vec<_> = frames.iter().map(|frame| codec::write_frame(frame).unwrap()).collect();
    actix_web::HttpResponse::Ok().body(body.concat())
}

fn serve(script: Script, calls: SharedCalls) -> net::SocketAddr {
    let server = actix_web::HttpServer::new(move || {
        let (runs, resumes) = (calls.clone(), calls.clone());
        let take = move |body: web::Bytes| {
            let request: run::RunRequest = codec::decode(&body).unwrap();
            let mut runs = runs.lock().unwrap();
            runs.runs += 1;
            std::future::ready(bytes(&script(Some(runs.runs), request.id)))
        };
        let resume = move |body: web::Bytes| {
            let request: run::ResumeRequest = codec::decode(&body).unwrap();
            resumes.lock().unwrap().resumes += 1;
            std::future::ready(bytes(&script(None, request.id)))
        };
        actix_web::App::new()
            .route(run::RUN_PATH, web::post().to(take))
            .route(run::RESUME_PATH, web::post().to(resume))
    });
    let server = server.workers(1).disable_signals().bind("127.0.0.1:0").unwrap();
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    address
}

fn shared(agents: Vec<directory::Agent>) -> dispatch::Shared {
    let process = process::Process::new("entry", "perth-north", "", control::Role::Entry);
    let shared = dispatch::Shared {
        node: "entry".into(),
        configuration: snapshot::Handle::default(),
        directory: directory::Directory::default(),
        mailbox: mailbox::Mailbox::new(process),
        router: router::Router::new("entry", "perth-north"),
        copies: usage::Copies::default(),
        windows: usage::Windows::system(time::Duration::from_secs(60)),
        silence: LIMIT,
        metrics: metrics::Metrics::new("entry", None),
    };
    let intent = settings::from_text(INTENT).unwrap();
    shared.configuration.advance(snapshot::Snapshot::new(1, intent));
    shared.directory.replace(agents);
    shared
}

/// The last thing that the caller of an open lookup is told, and what came to two agents that
/// follow `script`.
async fn told(idempotent: bool, script: Script) -> (dispatch::Event, Calls) {
    let calls = SharedCalls::default();
    let agent = |name: &str| directory::Agent {
        node: name.into(),
        incarnation: INCARNATION,
        zone: "perth-north".into(),
        backend: name.into(),
        pool: "billing-app".into(),
        runs: serve(script, calls.clone()).to_string(),
        control: String::new(),
        leaving: false,
    };
    let shared = shared(vec![agent("a"), agent("b")]);
    let incoming = identify::Incoming {
        method: "GET".into(),
        path: "/billing-app/notes/1".into(),
        target: "/billing-app/notes/1".into(),
        headers: Vec::new(),
        body: web::Bytes::new(),
    };
    let now = tokio::time::Instant::now();
    let configuration = shared.configuration.load();
    let mut job = identify::identify(&configuration, &incoming, now, |_, _, _, _| 1).unwrap();
    job.route.idempotent = idempotent;
    let (out, mut events) = mpsc::channel(16);
    let dispatch = dispatch::Dispatch::new(shared, link::Clients::default(), job, out);
    let stores = claims::Stores {
        table: table::Table::http("http://127.0.0.1:9", LIMIT),
        objects: objects::Objects::http("http://127.0.0.1:9", LIMIT),
    };
    dispatch.run(stores).await;
    let mut last = None;
    while let Some(event) = events.recv().await {
        last = Some(event);
    }
    let calls = *calls.lock().unwrap();
    (last.unwrap(), calls)
}

const LOAD: frame::Load = frame::Load { running: 1, waiting: 0, slots: 64, backlog: 0 };

const fn accepted(id: u128) -> frame::Frame {
    frame::Frame::Accepted { id, incarnation: INCARNATION, version: 1, load: LOAD }
}

fn answered(id: u128, text: &'static str, length: u64) -> Vec<frame::Frame> {
    let bytes = web::Bytes::from_static(text.as_bytes());
    let usage = frame::Usage::default();
    vec![
        accepted(id),
        frame::Frame::Head { status: 200, headers: Vec::new() },
        frame::Frame::Data { offset: 0, bytes },
        frame::Frame::End { length, usage, load: LOAD },
    ]
}

fn refused(refusal: refusal::Refusal) -> frame::Frame {
    frame::Frame::Refused { refusal, load: LOAD }
}

fn broken() -> refusal::Refusal {
    refusal::Refusal::may_have_run(code::Code::BackendFailed, "the service crashed")
}

fn full() -> refusal::Refusal {
    refusal::Refusal::not_run(code::Code::QueueFull, "the queue is full")
}

/// Code and truth of a failure; none for anything else.
fn failure(event: &dispatch::Event) -> Option<(code::Code, bool)> {
    let dispatch::Event::Failed(refusal) = event else { return None };
    Some((refusal.code, refusal.not_run))
}

#[gtest]
#[actix_rt::test]
async fn what_was_refused_by_one_agent_runs_at_another() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(1) => vec![refused(full())],
        _ => answered(id, "notes", 5),
    };
    let (event, calls) = told(false, script).await;
    let dispatch::Event::Whole(whole) = event else { panic!("{event:?}") };
    verify_that!((&whole.body[..], calls.runs), eq((&b"notes"[..], 2)))
}

#[gtest]
#[actix_rt::test]
async fn what_may_not_run_twice_is_sent_once_when_it_may_have_run() -> Result<()> {
    let (event, calls) = told(false, |_, id| vec![accepted(id), refused(broken())]).await;
    let unknown = (code::Code::OutcomeUnknown, false);
    verify_that!((failure(&event), calls.runs), eq((Some(unknown), 1)))
}

#[gtest]
#[actix_rt::test]
async fn what_ran_at_one_agent_is_not_called_not_run_when_another_refuses_it() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(1) => vec![accepted(id), refused(broken())],
        _ => vec![refused(full())],
    };
    let (event, calls) = told(true, script).await;
    verify_that!(calls.runs, ge(2))?;
    verify_that!(failure(&event).map(|(_, not_run)| not_run), some(eq(false)))
}

#[gtest]
#[actix_rt::test]
async fn the_answer_to_another_request_is_not_passed_on() -> Result<()> {
    let (event, _) = told(false, |_, id| answered(id ^ 1, "other", 5)).await;
    verify_that!(failure(&event), some(eq((code::Code::OutcomeUnknown, false))))
}

#[gtest]
#[actix_rt::test]
async fn an_answer_shorter_than_announced_is_not_passed_on_and_its_rest_is_asked_for() -> Result<()>
{
    let (event, calls) = told(false, |_, id| answered(id, "notes", 6)).await;
    verify_that!((failure(&event), calls.runs), eq((Some((code::Code::OutcomeUnknown, false)), 1)))
}

#[gtest]
#[actix_rt::test]
async fn a_lost_connection_is_resumed_and_nothing_sent_again() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(_) => vec![accepted(id)],
        None => answered(id, "notes", 5),
    };
    let (event, calls) = told(false, script).await;
    let dispatch::Event::Whole(whole) = event else { panic!("{event:?}") };
    verify_that!((&whole.body[..], calls.runs), eq((&b"notes"[..], 1)))
}

/// Without progress the agent is asked again as often as it is when it cannot be reached.
#[gtest]
#[actix_rt::test]
async fn an_agent_that_takes_a_resume_and_says_nothing_more_is_not_asked_without_end() -> Result<()>
{
    let (event, calls) = told(false, |_, id| vec![accepted(id)]).await;
    verify_that!(failure(&event), some(eq((code::Code::OutcomeUnknown, false))))?;
    verify_that!(calls.resumes, le(3))
}
