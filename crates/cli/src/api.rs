//! Client of the operators' API of an entry.

use std::env;
use std::time;

use awc::http;
use serde_json::Value;

use crate::args;
use crate::error;

/// Environment variable that holds the operator key.
const KEY_VARIABLE: &str = "AZUREGAP_OPERATOR_KEY";

/// Deadline of one call.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Largest answer taken, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Talks to the operators' address of one entry.
pub(crate) struct Api {
    client: awc::Client,
    base: String,
    key: String,
}

impl Api {
    /// A client of the entry at `operator.entry`, with the key of the environment.
    ///
    /// # Errors
    ///
    /// [`error::CliError::Usage`] when the environment holds no key.
    pub(crate) fn new(operator: &args::Operator) -> error::CliResult<Self> {
        let missing = || error::CliError::Usage(format!("set {KEY_VARIABLE} to your operator key"));
        let key = env::var(KEY_VARIABLE).ok().filter(|key| !key.is_empty()).ok_or_else(missing)?;
        Ok(Self::with_key(&operator.entry, &key))
    }

    /// A client of the entry at `base` with this operator key.
    pub(crate) fn with_key(base: &str, key: &str) -> Self {
        let base = base.trim_end_matches('/').to_owned();
        Self { client: awc::Client::default(), base, key: key.to_owned() }
    }

    /// Reads `path`.
    pub(crate) async fn get(&self, path: &str) -> error::CliResult<Value> {
        self.call(http::Method::GET, path, None).await
    }

    /// Posts `body` to `path`.
    pub(crate) async fn post(&self, path: &str, body: Option<&Value>) -> error::CliResult<Value> {
        self.call(http::Method::POST, path, body).await
    }

    /// Deletes `path`.
    pub(crate) async fn delete(&self, path: &str) -> error::CliResult<Value> {
        self.call(http::Method::DELETE, path, None).await
    }

    async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Option<&Value>,
    ) -> error::CliResult<Value> {
        let url = format!("{}{path}", self.base);
        let lost = |reason: String| error::CliError::Unreachable(url.clone(), reason);
        let request = self.client.request(method, &url).timeout(TIMEOUT).bearer_auth(&self.key);
        let sent = match body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut response = sent.await.map_err(|error| lost(error.to_string()))?;
        let status = response.status();
        let bytes = response.body().limit(MAX_ANSWER);
        let bytes = bytes.await.map_err(|error| lost(error.to_string()))?;
        if status.is_success() {
            return read(&bytes);
        }
        let text = || Value::String(String::from_utf8_lossy(&bytes).into_owned());
        let body = read(&bytes).unwrap_or_else(|_| serde_json::json!({ "message": text() }));
        Err(error::CliError::Refused(status.as_u16(), body))
    }
}

fn read(bytes: &[u8]) -> error::CliResult<Value> {
    serde_json::from_slice(bytes).map_err(|error| error::CliError::Answer(error.to_string()))
}
