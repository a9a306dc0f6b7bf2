//! HTTP responses for refused and failed requests.

use std::time;

use actix_web::http;
use azuregap_core::ids;
use azuregap_core::refusal;
use serde::Serialize;

/// Response header with the request id.
pub const REQUEST_ID_HEADER: &str = "x-azuregap-request";

/// JSON body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RefusalBody {
    /// Numeric error code.
    pub code: u16,
    /// Whether it is certain that the request did not run.
    pub not_run: bool,
    /// Description of the error and advice to the caller.
    pub message: String,
    /// Request id, 32 hexadecimal digits.
    pub request: String,
    /// Seconds after which a retry may succeed.
    pub retry_after: Option<u64>,
}

impl RefusalBody {
    /// Creates the body for `refusal` of request `id`.
    #[must_use]
    pub fn new(refusal: &refusal::Refusal, id: ids::RequestId) -> Self {
        Self {
            code: refusal.code.number(),
            not_run: refusal.not_run,
            message: format!("{}: {}", refusal.message, refusal.code.advice()),
            request: format!("{id:032x}"),
            retry_after: refusal.retry_after.map(round_up_seconds),
        }
    }
}

/// Builds the HTTP response for `refusal` of request `id`.
#[must_use]
pub fn build(refusal: &refusal::Refusal, id: ids::RequestId) -> actix_web::HttpResponse {
    let status = http::StatusCode::from_u16(refusal.code.status())
        .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let body = RefusalBody::new(refusal, id);
    let mut response = actix_web::HttpResponse::build(status);
    response.insert_header((REQUEST_ID_HEADER, body.request.clone()));
    if let Some(seconds) = body.retry_after {
        response.insert_header((http::header::RETRY_AFTER, seconds.to_string()));
    }
    response.json(body)
}

/// Rounds up to whole seconds, the unit of `Retry-After`.
fn round_up_seconds(delay: time::Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}
