//! Handles one client request from its head to the response.

use std::rc;
use std::time::Duration;

use http::header;
use http::request;
use http::response;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::body::Body as _;
use tokio::sync::mpsc;
use tokio::time;

use super::admission;
use super::attempt;
use super::body as response_body;
use super::client;
use super::collect;
use super::dispatch;
use super::guards;
use super::held_bytes;
use super::interruption;
use super::own_response;
use super::relay;
use super::request_body;
use super::sse;
use crate::codec;
use crate::configuration;
use crate::decision::failure;
use crate::decision::health;
use crate::decision::memory_budget;
use crate::peers;
use crate::state;

/// How long a request waits for the store to confirm the configuration. It is many times the usual
/// response time of the store, and less than half the shortest latency target.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);

/// A request is admitted again, by the newest configuration, if its body took longer than this.
const READMIT_DELAY: Duration = Duration::from_millis(100);

/// Capacity of the channel for events that wait to be sent to the client.
const EVENT_BUFFER: usize = 32;

/// Length of a shared segment, in tokens, from which on other gateways are told who has cached it.
const MIN_TOLD_TOKENS: u32 = 500;

/// Headers that concern a single connection and are not forwarded.
const HOP_BY_HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];

type Response = http::Response<response_body::Body>;

/// Handles one request of a client; one whose client `has_left` isn't sent anywhere.
pub(super) async fn handle(
    state: rc::Rc<state::State>,
    client: rc::Rc<client::Client>,
    request: http::Request<body::Incoming>,
    has_left: bool,
) -> Response {
    client.set_stage(client::Stage::Body);
    let response = if has_left {
        // The client has closed its side before the request began.
        own_response::denial_response(&state, &request.into_parts().0, admission::Denial::Left)
    } else {
        answer(&state, &client, request).await
    };
    client.set_stage(client::Stage::Answer);
    response
}

/// Decides on a request before its body is read, so that nothing is kept of one that is denied.
async fn answer(
    state: &rc::Rc<state::State>,
    client: &rc::Rc<client::Client>,
    request: http::Request<body::Incoming>,
) -> Response {
    let started = time::Instant::now();
    let active = rc::Rc::new(guards::ActiveRequest::new(state));
    let (mut head, mut incoming) = request.into_parts();
    remove_hop_by_hop(&mut head);
    let mut admitted = match admit(state, &head).await {
        Ok(admitted) => admitted,
        Err(denial) => {
            let response = own_response::denial_response(state, &head, denial);
            return refuse(state, client, &mut incoming, response).await;
        }
    };
    let max_length = state.configuration().map(|c| c.limits).unwrap_or_default().max_body_bytes;
    let body = match request_body::read(state, client, &mut incoming, max_length).await {
        Ok(body) => body,
        Err(failure) => {
            client::record_limit(state, failure.reason(), head.uri.path());
            let response = own_response::body_failure_response(state, &head, failure);
            return refuse(state, client, &mut incoming, response).await;
        }
    };
    drop(incoming);
    client.set_stage(client::Stage::Running);
    // Keys may have been withdrawn and routes removed while a long body was read.
    if started.elapsed() > READMIT_DELAY {
        admitted = match admit(state, &head).await {
            Ok(admitted) => admitted,
            Err(denial) => return own_response::denial_response(state, &head, denial),
        };
    }
    let mut memory = client.reservation(state);
    if !held_bytes::grow(state, &mut memory, memory_budget::RUN_BYTES) {
        let failure = request_body::BodyFailure::NoRoom;
        client::record_limit(state, failure.reason(), head.uri.path());
        return own_response::body_failure_response(state, &head, failure);
    }
    state.retry_budget.borrow_mut().record_request(&admitted.service, state.clock.now());
    let client = client.clone();
    let mut request =
        dispatch::ProxyRequest::new(state.clone(), client, admitted, head, body, memory, started);
    let mut error_response = None;
    let response = tokio::select! {
        biased;
        response = respond(&mut request, &active, &mut error_response) => response,
        () = state.wait_for_exit() => {
            let failure = request.failure(Duration::ZERO, "the process stopped".to_owned());
            fall_back(&request, error_response, failure)
        }
    };
    response.unwrap_or_else(|failure| own_response::failure_response(&request, &failure))
}

/// Passes on a refusal. Unless the rest of the request's body is short, the connection is closed.
async fn refuse(
    state: &state::State,
    client: &client::Client,
    body: &mut body::Incoming,
    mut response: Response,
) -> Response {
    // A process that exits waits for no client.
    let is_exiting = *state.exiting.borrow();
    if !body.is_end_stream() && (is_exiting || !request_body::discard(state, client, body).await) {
        if !is_exiting {
            client.expect_rest();
        }
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Decides whether a request may run. If a denial would be based on an old configuration, the
/// configuration is refreshed from the store first.
async fn admit(
    state: &state::State,
    head: &request::Parts,
) -> Result<admission::Admitted, admission::Denial> {
    let admitted = admission::admit(state, head);
    let is_stale = matches!(admitted, Err(admission::Denial::StaleConfiguration));
    if !is_stale || !state.freshness.borrow().is_store_reachable() {
        return admitted;
    }
    let refreshed = state.refresh_finished.notified();
    state.refresh_requested.notify_one();
    if time::timeout(CONFIRM_TIMEOUT, refreshed).await.is_err() {
        tracing::debug!("the store did not confirm the configuration in time");
    }
    admission::admit(state, head)
}

/// Removes the headers that concern only the client's connection.
fn remove_hop_by_hop(head: &mut request::Parts) {
    let listed: Vec<_> = head
        .headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse::<header::HeaderName>().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        head.headers.remove(name);
    }
    head.headers.remove("keep-alive");
    head.headers.remove("proxy-connection");
    head.headers.remove(header::EXPECT);
}

/// Sends the request to backend servers until there is a response for the client. `error_response` is
/// set to the newest error response of a backend server.
async fn respond(
    request: &mut dispatch::ProxyRequest,
    active: &rc::Rc<guards::ActiveRequest>,
    error_response: &mut Option<Response>,
) -> Result<Response, dispatch::RequestFailure> {
    loop {
        let backend_response = match request.send_until_response().await {
            Ok(backend_response) => backend_response,
            // A backend server's earlier error response is better than the gateway's own error.
            Err(failure) => return fall_back(request, error_response.take(), failure),
        };
        let is_stream = request.admitted.route.kind.is_stream()
            && backend_response.response.head.status.is_success();
        let reason = if is_stream {
            match start_stream(request, backend_response, active).await {
                Ok(response) => return Ok(response),
                Err(reason) => reason,
            }
        } else {
            match read_response(request, backend_response).await {
                Ok((response, true)) => return Ok(response),
                Ok((response, false)) => {
                    *error_response = Some(response);
                    "the backend server responded with an error".to_owned()
                }
                Err(reason) => reason,
            }
        };
        if !request.may_retry() {
            let kind = if request.time_left().is_zero() {
                failure::Failure::TimedOut
            } else {
                failure::Failure::OutcomeUnknown
            };
            let failure = dispatch::RequestFailure { kind, retry_delay: Duration::ZERO, reason };
            return fall_back(request, error_response.take(), failure);
        }
    }
}

/// Returns the earlier error response of a backend server if there is one, otherwise the failure.
fn fall_back(
    request: &dispatch::ProxyRequest,
    error_response: Option<Response>,
    failure: dispatch::RequestFailure,
) -> Result<Response, dispatch::RequestFailure> {
    let Some(response) = error_response else { return Err(failure) };
    let backend = request.tried.first().map_or("", |id| id.as_str());
    request.record_end(response.status().as_u16(), backend, "complete", &failure.reason);
    Ok(response)
}

/// Records that a backend server began to respond and failed; returns the reason.
async fn fail_attempt(
    request: &dispatch::ProxyRequest,
    target: &attempt::Target,
    interruption: interruption::Interruption,
) -> String {
    request.record_interruption(target, &interruption).await;
    request.observe(target, health::Outcome::Failure);
    let reason = interruption.reason().to_owned();
    request.log_failed_attempt(target, &reason);
    reason
}

/// Reads a response to its end. The flag is false if it is an error and the request may be retried
/// at another backend server.
async fn read_response(
    request: &mut dispatch::ProxyRequest,
    backend_response: dispatch::BackendResponse,
) -> Result<(Response, bool), String> {
    let dispatch::BackendResponse { target, load_guard, response, sent_at } = backend_response;
    if let Some(team) = &request.admitted.team
        && request.executions == 1
    {
        request.state.count_usage(team, sent_at.elapsed());
    }
    let body = collect::read_to_end(&request.state, &request.client, response.body);
    let body = match time::timeout_at(request.deadline, body).await {
        Ok(Ok(body)) => body,
        // This says nothing about the backend server.
        Ok(Err(error @ collect::CollectError::NoRoom)) => return Err(error.to_string()),
        Ok(Err(collect::CollectError::Failed(error))) => {
            let interruption = interruption::Interruption::of_error(&error);
            return Err(fail_attempt(request, &target, interruption).await);
        }
        Ok(Err(error @ collect::CollectError::TooLong)) => {
            let interruption = interruption::Interruption::fault(error.to_string());
            return Err(fail_attempt(request, &target, interruption).await);
        }
        Err(_) => return Err("the response did not end in time".to_owned()),
    };
    drop(load_guard);
    request.record_duration();
    let is_reusable = response.framing == attempt::Framing::Delimited;
    if is_reusable && !response.decoded.closes_connection {
        let idle_timeout = response.decoded.idle_timeout;
        request.state.pool.put(target.address, response.connection, idle_timeout);
    }
    let status = response.head.status;
    let is_error = status.is_server_error();
    let outcome = if is_error { health::Outcome::Failure } else { health::Outcome::Success };
    request.observe(&target, outcome);
    request.record_first_byte();
    if status.is_success() {
        request.record_answer();
    }
    let is_final = !(is_error && request.may_retry());
    if is_final {
        request.record_end(status.as_u16(), &target.id, "complete", "");
    }
    Ok((forward(response.head, response_body::Body::complete(body)), is_final))
}

/// Waits for the first event before it responds, since until then the request can still be sent to
/// another backend server.
async fn start_stream(
    request: &mut dispatch::ProxyRequest,
    backend_response: dispatch::BackendResponse,
    active: &rc::Rc<guards::ActiveRequest>,
) -> Result<Response, String> {
    let dispatch::BackendResponse { target, mut load_guard, mut response, sent_at } =
        backend_response;
    let mut splitter = sse::EventSplitter::new(request.last_event);
    let first = loop {
        let frame = tokio::select! {
            frame = time::timeout_at(request.deadline, response.body.frame()) => frame,
            rejection = request.wait_for_rejection() => {
                return Err(request.withdraw(&rejection, &target).reason);
            }
        };
        let frame = match frame {
            Err(_) => return Err("no event in time".to_owned()),
            Ok(None) if response.framing == attempt::Framing::UntilClose => {
                let reason = "the stream ended before its first event";
                let interruption = interruption::Interruption::of_end(response.framing, reason);
                return Err(fail_attempt(request, &target, interruption).await);
            }
            Ok(None) => break None,
            Ok(Some(Err(error))) => {
                let interruption = interruption::Interruption::of_error(&error);
                return Err(fail_attempt(request, &target, interruption).await);
            }
            Ok(Some(Ok(frame))) => frame,
        };
        let events = frame.data_ref().and_then(|data| splitter.push(data));
        if events.is_some() {
            break events;
        }
        if splitter.is_too_long() {
            let interruption = interruption::Interruption::fault(sse::TOO_LONG);
            return Err(fail_attempt(request, &target, interruption).await);
        }
    };
    load_guard.prefill_done();
    if let Some(team) = &request.admitted.team
        && request.executions == 1
    {
        request.state.count_usage(team, Duration::ZERO);
    }
    request.record_first_byte();
    record_cached_prefix(request, &target, sent_at);
    let mut speeds = request.state.prefill_speeds.borrow_mut();
    let speed = speeds.entry(request.admitted.service.clone()).or_default();
    speed.observe(target.queued_tokens + target.uncached_tokens, sent_at.elapsed());
    drop(speeds);
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
    let media_type = response.head.headers.get(header::CONTENT_TYPE).cloned();
    let client_response = forward(
        response.head,
        response_body::Body::Events { events: receiver, _active: active.clone() },
    );
    let stream = relay::Stream {
        target,
        _load_guard: load_guard,
        decoded: response.decoded,
        body: response.body,
        connection: response.connection,
        framing: response.framing,
        media_type,
    };
    actix_rt::spawn(relay::run(request.clone(), stream, splitter, first, sender));
    Ok(client_response)
}

/// Records that the backend server has prefilled the prompt and now caches its segments.
fn record_cached_prefix(
    request: &dispatch::ProxyRequest,
    target: &attempt::Target,
    sent_at: time::Instant,
) {
    let mut directory = request.state.directory.borrow_mut();
    let Some(server) = directory.get_mut(&target.id) else { return };
    let segments = &request.admitted.headers.segments;
    server.prefix_cache.insert(segments, sent_at);
    let shared = codec::shared_segments(segments).iter();
    let shared = shared.filter(|segment| segment.tokens >= MIN_TOLD_TOKENS);
    request.state.read_segments.borrow_mut().extend(
        shared
            .map(|segment| peers::CachedSegment { backend_hash: server.hash, segment: segment.id }),
    );
}

/// Builds the response to the client from the head of the backend server's response.
fn forward(head: response::Parts, body: response_body::Body) -> Response {
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
