//! Responses of the intent API.

use actix_web::HttpResponse;
use actix_web::http;
use serde::Serialize;

use crate::failure;

/// Builds the response to a call: a document with `status`, or an error document.
pub(super) fn respond<T: Serialize>(
    status: http::StatusCode,
    result: Result<T, failure::Failure>,
) -> HttpResponse {
    match result {
        Ok(document) => HttpResponse::build(status).json(document),
        Err(failure) => error_response(&failure),
    }
}

/// Builds the error response for a failure.
pub(super) fn error_response(failure: &failure::Failure) -> HttpResponse {
    let code = failure.code();
    let mut document = serde_json::json!({
        "code": code.number(),
        "message": failure.to_string(),
        "advice": code.advice(),
    });
    match failure {
        failure::Failure::Invalid(faults) => {
            let fault = |fault: &azuregap_core::intent::Fault| {
                serde_json::json!({
                    "path": fault.path,
                    "code": fault.code.number(),
                    "expected": fault.expected,
                })
            };
            document["faults"] = faults.iter().map(fault).collect();
        }
        failure::Failure::Conflict(conflict) => {
            document["base"] = conflict.base.into();
            document["version"] = conflict.version.into();
            document["by"] = conflict.by.clone().into();
            document["changes"] = conflict.changes.clone().into();
        }
        failure::Failure::NotHolder(holder) => document["holder"] = holder.clone().into(),
        failure::Failure::OutcomeUnknown(_) => document["unsettled"] = true.into(),
        _ => {}
    }
    let status = http::StatusCode::from_u16(code.status());
    HttpResponse::build(status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR)).json(document)
}
