//! One request of a caller and its answer.

use std::rc;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::request;
use http::response;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use hyper::body;
use tokio::sync::mpsc;
use tokio::time;

use super::admit;
use super::body as answer_body;
use super::dispatch;
use super::relay;
use super::splitter;
use super::ticket;
use crate::configuration;
use crate::decision::failure;
use crate::decision::health;
use crate::state;

/// Longest body of an answer that is relayed whole, in bytes.
const MOST_ANSWER: usize = 16 << 20;

/// Longest time that a request waits for the store to confirm the configuration. Source: many times
/// the store's usual answer, and under half of the shortest objective.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);

/// Events of one answer that wait for the caller.
const EVENTS_WAITING: usize = 32;

/// Headers that concern one connection only.
const HOP_BY_HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];

type Response = http::Response<answer_body::Body>;

/// Serves one request.
pub(super) async fn handle(
    state: rc::Rc<state::State>,
    request: http::Request<body::Incoming>,
) -> Response {
    let started = time::Instant::now();
    let active = rc::Rc::new(ticket::Active::new(&state));
    let (mut head, incoming) = request.into_parts();
    let limits = state.configuration().map(|c| c.limits).unwrap_or_default();
    let body = match Limited::new(incoming, limits.max_body_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return unread(&state, error.as_ref()),
    };
    strip(&mut head);
    let admitted = match admit(&state, &head).await {
        Ok(admitted) => admitted,
        Err(denial) => return denied(&state, &head, denial),
    };
    state.repeats.borrow_mut().record_request(&admitted.service, started);
    let mut job = dispatch::Job::new(state, admitted, head, body, started);
    serve(&mut job, &active).await.unwrap_or_else(|given_up| refused(&job, &given_up))
}

/// Decides whether a request may run; asks the store first if a denial would rest on an old
/// configuration.
async fn admit(
    state: &state::State,
    head: &request::Parts,
) -> Result<admit::Admitted, admit::Denial> {
    let admitted = admit::admit(state, head);
    let is_stale = matches!(admitted, Err(admit::Denial::Stale));
    if !is_stale || !state.freshness.borrow().is_store_reachable() {
        return admitted;
    }
    let confirmed = state.confirmed.notified();
    state.doubted.notify_one();
    if time::timeout(CONFIRM_TIMEOUT, confirmed).await.is_err() {
        tracing::debug!("the configuration was not confirmed in time");
    }
    admit::admit(state, head)
}

/// Removes headers that concern only the caller's connection.
fn strip(head: &mut request::Parts) {
    let named: Vec<_> = head
        .headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse::<header::HeaderName>().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        head.headers.remove(name);
    }
    head.headers.remove("keep-alive");
    head.headers.remove("proxy-connection");
    head.headers.remove(header::EXPECT);
}

/// The body was too long or didn't come whole.
fn unread(
    state: &state::State,
    error: &(dyn std::error::Error + Send + Sync + 'static),
) -> Response {
    let too_long = error.is::<http_body_util::LengthLimitError>();
    let (status, text) = if too_long {
        (http::StatusCode::PAYLOAD_TOO_LARGE, "6405: the body is too long")
    } else {
        (http::StatusCode::BAD_REQUEST, "6406: the body did not come whole")
    };
    state.metrics.requests.with_label_values(&[status.as_str()]).inc();
    plain(status, text, None)
}

fn denied(state: &state::State, head: &request::Parts, denial: admit::Denial) -> Response {
    let status = denial.status();
    state.metrics.requests.with_label_values(&[&status.to_string()]).inc();
    let now = time::Instant::now();
    if state.lines.failure(now) {
        let age = state.freshness.borrow().age(state.clock.now());
        let version = state.configuration().map(|configuration| configuration.version);
        tracing::info!(
            request = (state.codec.ask)(&head.headers).map(|ask| ask.id).unwrap_or_default(),
            path = head.uri.path(),
            configuration = version,
            configuration_age_ms = age.map(|age| age.as_millis() as u64),
            status,
            reason = denial.text(),
            "request denied"
        );
    }
    let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_REQUEST);
    let room = match denial {
        admit::Denial::Stale => Some(STALE_RETRY),
        admit::Denial::Stopping => Some(Duration::ZERO),
        _ => None,
    };
    let wait = room.map(|room| failure::retry_after(room, Duration::MAX, rand::random()));
    plain(status, denial.text(), wait)
}

/// When to come back if the configuration is not known well enough.
const STALE_RETRY: Duration = Duration::from_millis(700);

fn refused(job: &dispatch::Job, given_up: &dispatch::GivenUp) -> Response {
    let status = given_up.fate.status();
    job.log_end(status, "", "given up", &given_up.reason);
    let wait = (given_up.fate == failure::Failure::NotExecuted)
        .then(|| failure::retry_after(given_up.room, job.left(), rand::random()));
    let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let text = match given_up.fate {
        failure::Failure::NotExecuted => "6407: the request was not run; come back later",
        failure::Failure::OutcomeUnknown => "6408: the request may have run; its answer is lost",
        failure::Failure::TimedOut => "6409: the request was not answered in time",
    };
    plain(status, text, wait)
}

fn plain(status: http::StatusCode, text: &'static str, wait: Option<Duration>) -> Response {
    let mut response =
        http::Response::new(answer_body::Body::whole(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    if let Some(wait) = wait {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = header::HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Sends the request until an answer can be given to the caller.
async fn serve(
    job: &mut dispatch::Job,
    active: &rc::Rc<ticket::Active>,
) -> Result<Response, dispatch::GivenUp> {
    let mut kept: Option<Response> = None;
    loop {
        let obtained = match job.obtain().await {
            Ok(obtained) => obtained,
            // An earlier answer of a backend server, if only an error, is better than none.
            Err(given_up) => return keep(job, kept, given_up),
        };
        let streams =
            job.admitted.route.kind.is_stream() && obtained.answer.head.status.is_success();
        let failed = if streams {
            match begin_stream(job, obtained, active).await {
                Ok(response) => return Ok(response),
                Err(reason) => reason,
            }
        } else {
            match whole(job, obtained).await {
                Ok((response, true)) => return Ok(response),
                Ok((response, false)) => {
                    kept = Some(response);
                    "the backend server answered with an error".to_owned()
                }
                Err(reason) => reason,
            }
        };
        if !job.may_rerun() {
            let fate = if job.left().is_zero() {
                failure::Failure::TimedOut
            } else {
                failure::Failure::OutcomeUnknown
            };
            let given_up = dispatch::GivenUp { fate, room: Duration::ZERO, reason: failed };
            return keep(job, kept, given_up);
        }
    }
}

/// The earlier answer of a backend server, if there is one.
fn keep(
    job: &dispatch::Job,
    kept: Option<Response>,
    given_up: dispatch::GivenUp,
) -> Result<Response, dispatch::GivenUp> {
    let Some(response) = kept else { return Err(given_up) };
    let backend = job.tried.first().map_or("", |id| id.as_str());
    job.log_end(response.status().as_u16(), backend, "complete", &given_up.reason);
    Ok(response)
}

/// Reads a whole answer; false if it is an error that another backend server may do better.
async fn whole(
    job: &mut dispatch::Job,
    obtained: dispatch::Obtained,
) -> Result<(Response, bool), String> {
    let dispatch::Obtained { target, ticket, answer, sent } = obtained;
    if let Some(team) = &job.admitted.team
        && job.runs == 1
    {
        job.state.count_usage(team, sent.elapsed());
    }
    let body = Limited::new(answer.body, MOST_ANSWER).collect();
    let body = match time::timeout_at(job.deadline, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            job.observe(&target, health::Outcome::Failure);
            return Err(format!("the answer broke off: {error}"));
        }
        Err(_) => return Err("the answer did not end in time".to_owned()),
    };
    drop(ticket);
    if !answer.marks.closes {
        job.state.pool.put(target.address, answer.connection, answer.marks.idle);
    }
    let status = answer.head.status;
    let faulty = status.is_server_error();
    let outcome = if faulty { health::Outcome::Failure } else { health::Outcome::Success };
    job.observe(&target, outcome);
    job.began();
    let last = !(faulty && job.may_rerun());
    if last {
        job.log_end(status.as_u16(), &target.id, "complete", "");
    }
    Ok((relayed(answer.head, answer_body::Body::whole(body)), last))
}

/// Waits for the first event, so that another backend server can still take over before it.
async fn begin_stream(
    job: &mut dispatch::Job,
    obtained: dispatch::Obtained,
    active: &rc::Rc<ticket::Active>,
) -> Result<Response, String> {
    let dispatch::Obtained { target, mut ticket, mut answer, sent } = obtained;
    let mut splitter = splitter::Splitter::new(job.last_event);
    let first = loop {
        let frame = match time::timeout_at(job.deadline, answer.body.frame()).await {
            Err(_) => return Err("no event in time".to_owned()),
            Ok(None) => break None,
            Ok(Some(Err(error))) => {
                job.observe(&target, health::Outcome::Failure);
                return Err(format!("the stream broke off: {error}"));
            }
            Ok(Some(Ok(frame))) => frame,
        };
        let events = frame.data_ref().and_then(|data| splitter.push(data));
        if events.is_some() {
            break events;
        }
    };
    ticket.started();
    if let Some(team) = &job.admitted.team
        && job.runs == 1
    {
        job.state.count_usage(team, Duration::ZERO);
    }
    job.began();
    remember(job, &target, sent);
    let mut paces = job.state.paces.borrow_mut();
    let pace = paces.entry(job.admitted.service.clone()).or_default();
    pace.observe(target.before + target.uncached, sent.elapsed());
    drop(paces);
    let (sender, receiver) = mpsc::channel(EVENTS_WAITING);
    let response = relayed(
        answer.head,
        answer_body::Body::Events { events: receiver, _active: active.clone() },
    );
    let stream = relay::Stream {
        target,
        _ticket: ticket,
        marks: answer.marks,
        body: answer.body,
        connection: answer.connection,
    };
    actix_rt::spawn(relay::run(job.clone(), stream, splitter, first, sender));
    Ok(response)
}

/// The backend server has read the prompt and keeps its parts.
fn remember(job: &dispatch::Job, target: &super::attempt::Target, sent: time::Instant) {
    let mut directory = job.state.directory.borrow_mut();
    if let Some(known) = directory.get_mut(&target.id) {
        known.prefix_cache.insert(&job.admitted.ask.parts, sent);
    }
}

/// An answer with the backend server's status and headers.
fn relayed(head: response::Parts, body: answer_body::Body) -> Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    for name in &HOP_BY_HOP {
        response.headers_mut().remove(name);
    }
    response.headers_mut().remove("keep-alive");
    response
}

/// Whether a stream of a route may be resumed at another backend server.
pub(super) const fn is_resumable(kind: configuration::RouteKind) -> bool {
    matches!(kind, configuration::RouteKind::Stream { resumable: true, .. })
}
