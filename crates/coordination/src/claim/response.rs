//! The response that is replayed to retries.

use serde::Deserialize;
use serde::Serialize;

use crate::claim;

/// A complete response, as sent to the first request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<claim::Header>,
    /// Body.
    pub body: claim::ResponseBody,
}

impl StoredResponse {
    /// Creates a response without headers, with its body inline in the row.
    #[must_use]
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: claim::ResponseBody::Inline(body.into()) }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.push(claim::Header { name: name.into(), value: value.into() });
        self
    }
}
