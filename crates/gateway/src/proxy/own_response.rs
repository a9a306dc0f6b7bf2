//! Responses of the gateway itself, to requests that no backend server answered.

use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::request;
use tokio::time;

use super::admission;
use super::body as response_body;
use super::dispatch;
use super::request_body;
use crate::decision::failure;
use crate::state;

/// `Retry-After` base if the configuration is not known well enough.
const STALE_CONFIGURATION_RETRY: Duration = Duration::from_millis(700);

/// `Retry-After` base if there is no memory for a request; by then those that stalled have been closed.
const NO_ROOM_RETRY: Duration = Duration::from_secs(1);

type Response = http::Response<response_body::Body>;

/// Response to a request whose body was not read to its end.
pub(super) fn body_failure_response(
    state: &state::State,
    head: &request::Parts,
    failure: request_body::BodyFailure,
) -> Response {
    let (status, text) = match failure {
        request_body::BodyFailure::TooLong => {
            (http::StatusCode::PAYLOAD_TOO_LARGE, "6405: the body is too long")
        }
        request_body::BodyFailure::Incomplete => {
            (http::StatusCode::BAD_REQUEST, "6406: the body did not come whole")
        }
        request_body::BodyFailure::Stalled => {
            (http::StatusCode::REQUEST_TIMEOUT, "6412: the body stopped coming; nothing was run")
        }
        request_body::BodyFailure::NoRoom => (
            http::StatusCode::SERVICE_UNAVAILABLE,
            "6413: there is no memory for the request, which was not run; come back later",
        ),
        request_body::BodyFailure::Stopping => {
            return denial_response(state, head, admission::Denial::Stopping);
        }
    };
    state.metrics.requests.with_label_values(&[status.as_str()]).inc();
    let retry_after = (failure == request_body::BodyFailure::NoRoom)
        .then(|| failure::retry_after(NO_ROOM_RETRY, Duration::MAX, rand::random()));
    text_response(status, text, retry_after)
}

/// Response to a request that was not admitted.
pub(super) fn denial_response(
    state: &state::State,
    head: &request::Parts,
    denial: admission::Denial,
) -> Response {
    let status = denial.status();
    state.metrics.requests.with_label_values(&[&status.to_string()]).inc();
    let now = time::Instant::now();
    if state.log_limiter.allow_failure(now) {
        let age = state.freshness.borrow().age(state.clock.now());
        let version = state.configuration().map(|configuration| configuration.version);
        tracing::info!(
            request = (state.codec.decode_request)(&head.headers)
                .map(|headers| headers.id)
                .unwrap_or_default(),
            path = head.uri.path(),
            configuration = version,
            configuration_age_ms = age.map(|age| age.as_millis() as u64),
            status,
            reason = denial.text(),
            "request denied"
        );
    }
    let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_REQUEST);
    let retry_delay = match denial {
        admission::Denial::StaleConfiguration => Some(STALE_CONFIGURATION_RETRY),
        admission::Denial::Stopping => Some(Duration::ZERO),
        _ => None,
    };
    let retry_after =
        retry_delay.map(|delay| failure::retry_after(delay, Duration::MAX, rand::random()));
    text_response(status, denial.text(), retry_after)
}

/// Response to a request that no backend server answered.
pub(super) fn failure_response(
    request: &dispatch::ProxyRequest,
    failure: &dispatch::RequestFailure,
) -> Response {
    let status = failure.kind.status();
    request.record_end(status, "", "given up", &failure.reason);
    let retry_after = match failure.kind {
        failure::Failure::NotExecuted => {
            Some(failure::retry_after(failure.retry_delay, request.time_left(), rand::random()))
        }
        failure::Failure::Quarantined => Some(failure.retry_delay),
        failure::Failure::OutcomeUnknown | failure::Failure::TimedOut => None,
    };
    let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let text = match failure.kind {
        failure::Failure::NotExecuted => "6407: the request was not run; come back later",
        failure::Failure::Quarantined => {
            "6411: the request was not run; it or part of its prompt crashes backend servers"
        }
        failure::Failure::OutcomeUnknown => "6408: the request may have run; its answer is lost",
        failure::Failure::TimedOut => "6409: the request was not answered in time",
    };
    text_response(status, text, retry_after)
}

/// Builds a response of the gateway itself, with a `Retry-After` header in fractional seconds.
fn text_response(
    status: http::StatusCode,
    text: &'static str,
    retry_after: Option<Duration>,
) -> Response {
    let body = response_body::Body::complete(Bytes::from_static(text.as_bytes()));
    let mut response = http::Response::new(body);
    *response.status_mut() = status;
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = header::HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
