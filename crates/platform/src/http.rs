//! One JSON call over HTTP.

use std::time;

use serde::Serialize;
use serde::de;

use crate::error;

/// Largest answer taken from the platform, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Posts `call` as JSON to `url` and reads a JSON answer within `timeout`.
///
/// # Errors
///
/// [`error::PlatformError::Refused`] on a status of 400 to 499 or when no connection was made,
/// [`error::PlatformError::Unknown`] otherwise.
pub async fn post<T: de::DeserializeOwned>(
    client: &awc::Client,
    url: &str,
    call: &impl Serialize,
    timeout: time::Duration,
) -> error::PlatformResult<T> {
    let send = async {
        let mut response = client.post(url).timeout(timeout).send_json(call).await.map_err(sort)?;
        let status = response.status();
        let body = response.body().limit(MAX_ANSWER).await.map_err(unknown)?;
        if status.is_client_error() {
            let text = String::from_utf8_lossy(&body).into_owned();
            return Err(error::PlatformError::Refused(format!("{status}: {text}")));
        }
        if !status.is_success() {
            return Err(error::PlatformError::Unknown(status.to_string()));
        }
        serde_json::from_slice(&body).map_err(unknown)
    };
    tokio::time::timeout(timeout, send).await.map_err(unknown)?
}

/// A call that never left has no effect; anything else may have had one.
///
/// The client library reports a connection that was closed after the call was sent, and before an
/// answer came, as `Connect(Disconnected)`: such a call may have had its effect.
fn sort(reason: awc::error::SendRequestError) -> error::PlatformError {
    match reason {
        awc::error::SendRequestError::Connect(awc::error::ConnectError::Disconnected) => {
            unknown(reason)
        }
        awc::error::SendRequestError::Connect(_) => {
            error::PlatformError::Refused(reason.to_string())
        }
        _ => unknown(reason),
    }
}

fn unknown(reason: impl ToString) -> error::PlatformError {
    error::PlatformError::Unknown(reason.to_string())
}
