//! The answer that repeats are given.

use serde::Deserialize;
use serde::Serialize;

use crate::claim;

/// A whole answer as it was given first.
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
    /// An answer without headers whose body is kept in the row.
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
