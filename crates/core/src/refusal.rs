//! The error that is propagated to the caller when a request is rejected or fails.

use std::fmt;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::code;

/// The rejection or failure of a single request, with its numbered code.
///
/// `not_run` is true only when it is certain that the backend server never started the request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Result code.
    pub code: code::Code,
    /// Whether the request certainly did not run.
    pub not_run: bool,
    /// Details of this occurrence, in one sentence.
    pub message: String,
    /// Delay before a retry, if a retry can succeed.
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// Creates a refusal for a request that certainly did not run.
    #[must_use]
    pub fn not_run(code: code::Code, message: impl Into<String>) -> Self {
        Self { code, not_run: true, message: message.into(), retry_after: None }
    }

    /// Creates a refusal for a request that ran or may have run.
    #[must_use]
    pub fn may_have_run(code: code::Code, message: impl Into<String>) -> Self {
        Self { code, not_run: false, message: message.into(), retry_after: None }
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub fn retry_after(mut self, after: time::Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} ({})", self.code.number(), self.message, self.code.advice())
    }
}

impl std::error::Error for Refusal {}
