//! One send of a request to one backend server.

use std::net;
use std::rc;
use std::time::Duration;

use azuregap_core::ids;
use bytes::Bytes;
use http::request;
use http::response;
use http_body_util::Full;
use hyper::body;
use tokio::time;

use super::pool;
use crate::codec;
use crate::state;

/// Time for a kept connection to take the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// A send that fails within this time met a connection that was already gone. Source: the longest
/// round trip inside a region, several times over.
const AT_ONCE: Duration = Duration::from_millis(50);

/// The backend server that a request is sent to.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) id: ids::BackendId,
    pub(super) born: u64,
    pub(super) address: net::SocketAddr,
    /// Prompt tokens that it has to read.
    pub(super) uncached: u64,
    /// Prompt tokens of others that it reads before.
    pub(super) before: u64,
    /// Its place among the homes of the session, from 1 on; 0 if it is none of them.
    pub(super) home: u8,
}

/// The head of an answer and the connection that its body comes on.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) head: response::Parts,
    pub(super) marks: codec::Marks,
    pub(super) body: body::Incoming,
    pub(super) connection: pool::Connection,
}

/// How one send went.
#[derive(Debug)]
pub(super) enum Sent {
    /// An answer to this request began.
    Answer(Box<Answer>),
    /// The backend server did not run it.
    NotRun,
    /// The backend server couldn't be reached; nothing was sent.
    Unsent(String),
    /// It may have run.
    Unknown(String),
}

/// Sends a request and waits for the head of its answer.
pub(super) async fn send(
    state: &rc::Rc<state::State>,
    target: &Target,
    head: &request::Parts,
    body: &Bytes,
    stamp: &codec::Stamp,
    id: &str,
    service: &str,
) -> Sent {
    let deadline = time::Instant::now() + stamp.left;
    let mut request = http::Request::new(Full::new(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    *request.headers_mut() = head.headers.clone();
    (state.codec.stamp)(request.headers_mut(), stamp);
    loop {
        let kept = state.pool.take(target.address, most_rest(state, service));
        let fresh = kept.is_none();
        let mut connection = match kept {
            Some(connection) => connection,
            None => match state.pool.open_new(target.address).await {
                Ok(connection) => {
                    state.metrics.connections.inc();
                    connection
                }
                Err(error) => return Sent::Unsent(error.to_string()),
            },
        };
        let ready = time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            if fresh {
                return Sent::Unsent("the connection was closed".to_owned());
            }
            continue;
        }
        let start = time::Instant::now();
        let sent = time::timeout_at(deadline, connection.sender.try_send_request(request)).await;
        let response = match sent {
            Err(_) => return Sent::Unknown("no answer in time".to_owned()),
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => match error.take_message() {
                Some(unsent) if !fresh => {
                    request = unsent;
                    continue;
                }
                Some(_) => return Sent::Unsent(error.error().to_string()),
                None => {
                    if start.elapsed() < AT_ONCE {
                        lost_after_rest(state, service, connection.rested);
                    }
                    return Sent::Unknown(error.error().to_string());
                }
            },
        };
        return judge(state, response, connection, id);
    }
}

fn most_rest(state: &state::State, service: &str) -> Duration {
    let now = time::Instant::now();
    state.rests.borrow().get(service).map_or(Duration::MAX, |rest| rest.max_idle(now))
}

/// Takes the loss of a request on a connection that had rested.
fn lost_after_rest(state: &state::State, service: &str, rested: Duration) {
    let mut rests = state.rests.borrow_mut();
    let rest = rests.entry(service.to_owned()).or_default();
    if rest.record_loss(rested, time::Instant::now()) {
        let rested_ms = rested.as_millis() as u64;
        tracing::warn!(service, rested_ms, "resting connections are lost; they are not used");
    }
}

/// Whether an answer belongs to the request, and whether the request ran.
fn judge(
    state: &rc::Rc<state::State>,
    response: http::Response<body::Incoming>,
    connection: pool::Connection,
    id: &str,
) -> Sent {
    let (head, body) = response.into_parts();
    let marks = (state.codec.marks)(&head.headers);
    if marks.id.as_deref().is_some_and(|echoed| echoed != id) {
        return Sent::Unknown("the answer belongs to another request".to_owned());
    }
    if marks.not_run || head.status == http::StatusCode::MISDIRECTED_REQUEST {
        return Sent::NotRun;
    }
    if marks.id.is_none() {
        return Sent::Unknown("the answer names no request".to_owned());
    }
    if head.status.is_success() && !marks.signed {
        return Sent::Unknown("the answer is not signed".to_owned());
    }
    Sent::Answer(Box::new(Answer { head, marks, body, connection }))
}
