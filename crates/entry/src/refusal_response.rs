//! Refusals as callers see them.

use std::time;

use actix_web::http;
use azuregap_core::ids;
use azuregap_core::refusal;
use serde::Serialize;

/// Header that carries the request id to the caller.
pub const REQUEST_ID_HEADER: &str = "x-azuregap-request";

/// JSON body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RefusalBody {
    /// Numbered code.
    pub code: u16,
    /// Whether it is certain that nothing ran.
    pub not_run: bool,
    /// What was seen, and what to do.
    pub message: String,
    /// Request id, 32 hexadecimal digits.
    pub request: String,
    /// Seconds until coming back can help.
    pub retry_after: Option<u64>,
}

impl RefusalBody {
    /// The body for `refusal` of request `id`.
    #[must_use]
    pub fn new(refusal: &refusal::Refusal, id: ids::RequestId) -> Self {
        Self {
            code: refusal.code.number(),
            not_run: refusal.not_run,
            message: format!("{}: {}", refusal.message, refusal.code.advice()),
            request: format!("{id:032x}"),
            retry_after: refusal.retry_after.map(whole_seconds),
        }
    }
}

/// The response that tells a caller of `refusal`.
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

/// Rounds up, as `Retry-After` takes whole seconds.
fn whole_seconds(after: time::Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}
