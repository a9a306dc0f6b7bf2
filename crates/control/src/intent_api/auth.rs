//! Authentication of operators.

use actix_web::HttpRequest;
use actix_web::http::header;
use azuregap_core::key;
use azuregap_core::settings;

use crate::failure;

/// Returns the operator whose key `request` carries. Every known digest is compared, in constant
/// time.
pub(super) fn authenticate(
    request: &HttpRequest,
    known: &[settings::OperatorKey],
) -> Result<String, failure::Failure> {
    let key = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(failure::Failure::Denied)?;
    let digest = key::Digest::of(key.trim());
    let mut found = None;
    for operator in known {
        if operator.digest.matches(&digest) {
            found = Some(operator.name.clone());
        }
    }
    found.ok_or(failure::Failure::Denied)
}
