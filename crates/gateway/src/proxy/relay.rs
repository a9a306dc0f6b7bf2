//! Relays the events of a stream, and resumes the stream at another backend server if the route
//! allows it.

use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::response;
use http_body_util::BodyExt as _;
use hyper::body;
use tokio::sync::mpsc;
use tokio::time;

use super::attempt;
use super::body as response_body;
use super::dispatch;
use super::guards;
use super::handler;
use super::held_bytes;
use super::interruption;
use super::pool;
use super::sse;
use crate::codec;
use crate::decision::health;

/// Time for events to be written before the connection is closed.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Events from this length on are counted in the memory budget.
const COUNTED_EVENT_BYTES: usize = 4 << 10;

/// A stream from a backend server.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) target: attempt::Target,
    /// Counts the request in the backend server's load while the stream runs.
    pub(super) _load_guard: guards::LoadGuard,
    pub(super) decoded: codec::ResponseHeaders,
    pub(super) body: body::Incoming,
    pub(super) connection: pool::Connection,
    pub(super) framing: attempt::Framing,
    /// Media type of its events.
    pub(super) media_type: Option<header::HeaderValue>,
}

type EventSender = mpsc::Sender<Result<Bytes, response_body::BodyError>>;

/// How the relay of one backend server's stream ended.
enum StreamEnd {
    Complete,
    ClientDisconnected,
    DeadlineExceeded,
    /// This process exits.
    Stopped,
    /// The backend server's stream broke off.
    Interrupted(interruption::Interruption),
}

/// Relays events until the stream is complete or can't be continued, or the client disconnects.
pub(super) async fn run(
    mut request: dispatch::ProxyRequest,
    mut stream: Stream,
    mut splitter: sse::EventSplitter,
    first: Option<Bytes>,
    events: EventSender,
) {
    if let Some(first) = first
        && !send(&request, &events, first).await
    {
        return request.record_end(200, &stream.target.id, "caller left", "");
    }
    let mut last_sent = time::Instant::now();
    loop {
        let end =
            relay_events(&mut request, &mut last_sent, &mut stream, &mut splitter, &events).await;
        let backend = stream.target.id.clone();
        let interruption = match end {
            StreamEnd::Complete => {
                request.observe(&stream.target, health::Outcome::Success);
                request.record_answer();
                let is_reusable = stream.framing == attempt::Framing::Delimited;
                if is_reusable && !stream.decoded.closes_connection {
                    let address = stream.target.address;
                    let idle_timeout = stream.decoded.idle_timeout;
                    request.state.pool.put(address, stream.connection, idle_timeout);
                }
                return request.record_end(200, &backend, "complete", "");
            }
            StreamEnd::ClientDisconnected => {
                return request.record_end(200, &backend, "caller left", "");
            }
            StreamEnd::DeadlineExceeded => {
                truncate(&events).await;
                return request.record_end(200, &backend, "out of time", "");
            }
            StreamEnd::Stopped => {
                truncate(&events).await;
                return request.record_end(200, &backend, "cut", "the process stopped");
            }
            StreamEnd::Interrupted(interruption) => interruption,
        };
        request.record_interruption(&stream.target, &interruption).await;
        let reason = interruption.reason();
        request.observe(&stream.target, health::Outcome::Failure);
        request.log_failed_attempt(&stream.target, reason);
        splitter.discard_partial();
        request.last_event = splitter.last_id();
        let media_type = stream.media_type.clone();
        drop(stream);
        match resume(&mut request, media_type.as_ref(), &events).await {
            Some(next) => stream = next,
            None => {
                truncate(&events).await;
                return request.record_end(200, &backend, "cut", reason);
            }
        }
    }
}

/// Sends events to the client; returns whether it is still connected.
async fn send(request: &dispatch::ProxyRequest, events: &EventSender, bytes: Bytes) -> bool {
    if bytes.len() < COUNTED_EVENT_BYTES {
        return events.send(Ok(bytes)).await.is_ok();
    }
    if let Some(held) = held_bytes::hold(&request.state, &request.client, &bytes) {
        return events.send(Ok(held)).await.is_ok();
    }
    // Without room for them, the client has to take all earlier events first.
    let is_taken = events.reserve_many(events.max_capacity()).await.is_ok();
    is_taken && events.send(Ok(bytes)).await.is_ok()
}

/// Closes the client's connection without the end of the response.
async fn truncate(events: &EventSender) {
    // An error closes the connection at once, so give it time to write the events sent before.
    time::sleep(FLUSH_DELAY).await;
    // Sending fails only if the client has already disconnected.
    let _ = events.send(Err(response_body::BodyError::Truncated)).await;
}

/// Continues the stream at another backend server after the last event, if the route allows it.
async fn resume(
    request: &mut dispatch::ProxyRequest,
    media_type: Option<&header::HeaderValue>,
    events: &EventSender,
) -> Option<Stream> {
    while handler::is_resumable(request.admitted.route.kind) && request.may_retry() {
        let response = tokio::select! {
            response = request.send_until_response() => response.ok()?,
            () = events.closed() => return None,
        };
        let dispatch::BackendResponse { target, mut load_guard, response, .. } = response;
        load_guard.prefill_done();
        if is_continuation(&response.head, media_type) {
            return Some(Stream {
                target,
                _load_guard: load_guard,
                decoded: response.decoded,
                body: response.body,
                connection: response.connection,
                framing: response.framing,
                media_type: media_type.cloned(),
            });
        }
        request.observe(&target, health::Outcome::Failure);
        let status = response.head.status;
        request.log_failed_attempt(&target, &format!("status {status} continues no stream"));
    }
    None
}

/// Whether a response continues a stream whose events have a media type. Other successes, such as a
/// part of a document or an encoded body, are no events that could follow the earlier ones.
fn is_continuation(head: &response::Parts, media_type: Option<&header::HeaderValue>) -> bool {
    let next = head.headers.get(header::CONTENT_TYPE);
    head.status == http::StatusCode::OK
        && next.map(essence) == media_type.map(essence)
        && !head.headers.contains_key(header::CONTENT_ENCODING)
}

/// A media type without its parameters.
fn essence(media_type: &header::HeaderValue) -> Vec<u8> {
    let essence = media_type.as_bytes().split(|byte| *byte == b';').next().unwrap_or_default();
    essence.trim_ascii().to_ascii_lowercase()
}

async fn relay_events(
    request: &mut dispatch::ProxyRequest,
    last_sent: &mut time::Instant,
    stream: &mut Stream,
    splitter: &mut sse::EventSplitter,
    events: &EventSender,
) -> StreamEnd {
    let state = request.state.clone();
    let mut exit = std::pin::pin!(state.wait_for_exit());
    loop {
        let frame = tokio::select! {
            frame = stream.body.frame() => frame,
            () = events.closed() => return StreamEnd::ClientDisconnected,
            () = time::sleep_until(request.deadline) => return StreamEnd::DeadlineExceeded,
            () = exit.as_mut() => return StreamEnd::Stopped,
        };
        let complete = match frame {
            Some(Ok(frame)) => frame.into_data().ok().and_then(|data| splitter.push(&data)),
            Some(Err(error)) => {
                return StreamEnd::Interrupted(interruption::Interruption::of_error(&error));
            }
            None => {
                let is_delimited = stream.framing == attempt::Framing::Delimited;
                if splitter.is_broken_off(is_delimited) {
                    let reason = "the stream ended inside an event";
                    let interruption = interruption::Interruption::of_end(stream.framing, reason);
                    return StreamEnd::Interrupted(interruption);
                }
                if let Some(remainder) = splitter.take_remainder()
                    && !send(request, events, remainder).await
                {
                    return StreamEnd::ClientDisconnected;
                }
                return StreamEnd::Complete;
            }
        };
        if splitter.is_too_long() {
            return StreamEnd::Interrupted(interruption::Interruption::fault(sse::TOO_LONG));
        }
        if let Some(complete) = complete {
            if request.is_proven() {
                request.record_proof();
            }
            let now = time::Instant::now();
            let gap = now.saturating_duration_since(*last_sent);
            request.longest_gap = request.longest_gap.max(gap);
            if !gap.is_zero() {
                request.shortest_gap = request.shortest_gap.into_iter().chain([gap]).min();
            }
            *last_sent = now;
            tokio::select! {
                is_sent = send(request, events, complete) => {
                    if !is_sent {
                        return StreamEnd::ClientDisconnected;
                    }
                }
                () = time::sleep_until(request.deadline) => return StreamEnd::DeadlineExceeded,
            }
        }
    }
}
