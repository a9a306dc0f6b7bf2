//! A single attempt to send a request to one backend server.

use std::net;
use std::rc;
use std::time::Duration;

use azuregap_core::ids;
use bytes::Bytes;
use http::header;
use http::request;
use http::response;
use http_body_util::Full;
use hyper::body;
use tokio::time;

use super::eligibility;
use super::interruption;
use super::pool;
use crate::backend_limits;
use crate::codec;
use crate::cold_servers;
use crate::decision::backend_limit;
use crate::decision::cold_server;
use crate::directory;
use crate::state;

/// Timeout for a pooled connection to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// If a send fails within this time, the connection was already closed when it was taken from the
/// pool. It is several times the longest round trip inside a region.
const IMMEDIATE_FAILURE: Duration = Duration::from_millis(50);

/// The backend server that a request is sent to.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) id: ids::BackendId,
    pub(super) started_ms: u64,
    pub(super) zone: ids::ZoneId,
    pub(super) address: net::SocketAddr,
    /// Prompt tokens of this request that it has to prefill.
    pub(super) uncached_tokens: u64,
    /// Prompt tokens of other requests that it prefills before this one.
    pub(super) queued_tokens: u64,
    /// Prompt tokens of all requests that wait or are read there.
    pub(super) reading: u64,
    /// Room there, if streams name a pause.
    pub(super) room: Option<u64>,
    /// Position among the preferred backend servers of the session, starting at 1; 0 if it is none
    /// of them.
    pub(super) preference: u8,
    /// Address of another backend server that has cached more of the prompt.
    pub(super) fetch_source: Option<net::SocketAddr>,
}

/// The head of a response and the connection on which its body arrives.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) head: response::Parts,
    pub(super) decoded: codec::ResponseHeaders,
    pub(super) body: body::Incoming,
    pub(super) connection: pool::Connection,
    pub(super) framing: Framing,
}

/// How the end of a body is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By its length or its last chunk.
    Delimited,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    fn of(head: &response::Parts) -> Self {
        let is_delimited = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        if is_delimited { Self::Delimited } else { Self::UntilClose }
    }
}

/// Outcome of an attempt.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The backend server started to respond to this request.
    Response(Box<Response>),
    /// The backend server stated that it did not execute the request.
    NotExecuted,
    /// The backend server couldn't be reached; nothing was sent.
    NotSent(String),
    /// Nothing was sent, since the backend server must not get the request any more.
    Withheld(&'static str),
    /// The request may have been executed.
    Unknown(interruption::Interruption),
}

impl Outcome {
    fn unknown(cause: impl Into<String>) -> Self {
        Self::Unknown(interruption::Interruption::fault(cause))
    }
}

/// Sends a request and waits for the head of the response.
pub(super) async fn send(
    state: &rc::Rc<state::State>,
    target: &Target,
    head: &request::Parts,
    body: &Bytes,
    upstream: &codec::UpstreamHeaders,
    id: &str,
    service: &str,
) -> Outcome {
    let deadline = time::Instant::now() + upstream.timeout;
    let mut request = http::Request::new(Full::new(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    *request.headers_mut() = head.headers.clone();
    (state.codec.rewrite_headers)(request.headers_mut(), upstream);
    let mut placed_at = state.clock.now();
    loop {
        let pooled = state.pool.take(target.address, max_idle(state, service));
        let is_new = pooled.is_none();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => match state.pool.connect(target.address).await {
                Ok(connection) => {
                    state.metrics.connections.inc();
                    connection
                }
                Err(error) => return Outcome::NotSent(error.to_string()),
            },
        };
        let ready = time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            if is_new {
                return Outcome::NotSent("the connection was closed".to_owned());
            }
            continue;
        }
        if let Some(reason) = withholds(state, target, service, &mut placed_at) {
            return Outcome::Withheld(reason);
        }
        let (start, sent_at) = (time::Instant::now(), state.clock.now());
        connection.head.start();
        let sent = time::timeout_at(deadline, connection.sender.try_send_request(request)).await;
        connection.head.stop();
        let response = match sent {
            Err(_) => return Outcome::unknown("no response in time"),
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => match error.take_message() {
                Some(unsent) if !is_new => {
                    request = unsent;
                    continue;
                }
                Some(_) => return Outcome::NotSent(error.error().to_string()),
                None => {
                    if start.elapsed() < IMMEDIATE_FAILURE {
                        record_idle_loss(state, service, connection.idle_time);
                    }
                    return Outcome::Unknown(interruption::Interruption::of_error(error.error()));
                }
            },
        };
        return check_response(state, target, response, connection, id, sent_at);
    }
}

/// Why a request must not be sent any more, if its zone was withdrawn or its place has expired while
/// it waited for a connection.
fn withholds(
    state: &state::State,
    target: &Target,
    service: &str,
    placed_at: &mut time::Instant,
) -> Option<&'static str> {
    if !eligibility::is_open_zone(state, &target.zone) {
        return Some("zone withdrawn while the request waited for a connection");
    }
    let now = state.clock.now();
    if now.saturating_duration_since(*placed_at) > cold_server::PLACE_VALIDITY {
        *placed_at = now;
        let protection = cold_servers::protection(state, service)?;
        if !protection.try_send(state, directory::id_hash(&target.id)) {
            return Some("cold: the place has expired while the request waited for a connection");
        }
    }
    None
}

/// How long a pooled connection to a service may have been idle to be used again.
fn max_idle(state: &state::State, service: &str) -> Duration {
    let now = time::Instant::now();
    state.idle_limits.borrow().get(service).map_or(Duration::MAX, |limit| limit.max_idle(now))
}

/// Records that a request was lost on a connection that had been idle.
fn record_idle_loss(state: &state::State, service: &str, idle_time: Duration) {
    let mut limits = state.idle_limits.borrow_mut();
    let limit = limits.entry(service.to_owned()).or_default();
    if limit.record_loss(idle_time, time::Instant::now()) {
        let rested_ms = idle_time.as_millis() as u64;
        tracing::warn!(
            service,
            rested_ms,
            "request lost on an idle connection; idle connections are not reused for a while"
        );
    }
}

/// Whether a status is one that a request may end with. No request asks to change the protocol, and
/// other interim responses have been dropped; from 600 on there is no class of responses.
fn is_final(status: http::StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Checks that a response belongs to the request and whether the request was executed.
fn check_response(
    state: &rc::Rc<state::State>,
    target: &Target,
    response: http::Response<body::Incoming>,
    connection: pool::Connection,
    id: &str,
    sent_at: time::Instant,
) -> Outcome {
    let (head, body) = response.into_parts();
    if !is_final(head.status) {
        return Outcome::unknown(format!("status {} is none of a final response", head.status));
    }
    let decoded = (state.codec.decode_response)(&head.headers);
    if decoded.id.as_deref().is_some_and(|echoed| echoed != id) {
        return Outcome::unknown("the response belongs to another request");
    }
    // A backend server that got the address of one that has ended responds with 421.
    let is_misdirected = head.status == http::StatusCode::MISDIRECTED_REQUEST;
    // On a connection that has served another request, it may be a late copy of that one's rejection.
    if (is_misdirected || decoded.not_executed) && decoded.id.is_none() && connection.reused {
        return Outcome::unknown("a rejection without request id may belong to another request");
    }
    if is_misdirected {
        return Outcome::NotExecuted;
    }
    record_notices(state, target, head.status, &decoded);
    record_limit(state, target, &decoded, sent_at);
    if decoded.not_executed {
        return Outcome::NotExecuted;
    }
    if decoded.id.is_none() {
        return Outcome::unknown("the response has no request id");
    }
    if head.status.is_success() && !decoded.signed {
        return Outcome::unknown("the response is not signed");
    }
    let framing = Framing::of(&head);
    Outcome::Response(Box::new(Response { head, decoded, body, connection, framing }))
}

/// Records what the backend server says about itself in a response: that it is leaving, or that it
/// wants no requests for a while.
fn record_notices(
    state: &state::State,
    target: &Target,
    status: http::StatusCode,
    decoded: &codec::ResponseHeaders,
) {
    let mut directory = state.directory.borrow_mut();
    let now = time::Instant::now();
    if decoded.leaving && directory.record_leaving(&target.id, target.started_ms, now) {
        state.announce_news();
        tracing::info!(backend = target.id, "backend server says that it is leaving");
    }
    if status != http::StatusCode::SERVICE_UNAVAILABLE {
        directory.record_acceptance(&target.id, target.started_ms);
    } else if let Some(length) = decoded.quiet_for {
        directory.record_quiet_period(&target.id, target.started_ms, length, now);
        let quiet_ms = length.as_millis() as u64;
        tracing::info!(backend = target.id, quiet_ms, "backend server asks for a quiet period");
    }
}

/// Records the limit that the backend server names. A response that isn't signed may lack it by
/// accident.
fn record_limit(
    state: &state::State,
    target: &Target,
    decoded: &codec::ResponseHeaders,
    sent_at: time::Instant,
) {
    if decoded.limit == backend_limit::NamedLimit::None && !decoded.signed {
        return;
    }
    let (limit, heard_at) = (decoded.limit, state.clock.now());
    if limit == backend_limit::NamedLimit::Unreadable
        && state.log_limiter.allow_failure(time::Instant::now())
    {
        tracing::info!(backend = target.id, "backend server names a limit that can't be read");
    }
    let statement = backend_limit::Statement { limit, sent_at, heard_at };
    backend_limits::record_response(state, &target.id, target.started_ms, &statement);
}
