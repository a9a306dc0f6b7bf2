//! The refusal that travels from where it was decided to the caller.

use std::fmt;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::code;

/// A numbered refusal or failure of one request.
///
/// `not_run` is true only when the backend server certainly never began the request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// What happened.
    pub code: code::Code,
    /// Whether it is certain that nothing ran.
    pub not_run: bool,
    /// What was seen, in one sentence.
    pub message: String,
    /// When to come back, if coming back can help.
    pub retry_after: Option<time::Duration>,
}

impl Refusal {
    /// A refusal of something that certainly did not run.
    #[must_use]
    pub fn not_run(code: code::Code, message: impl Into<String>) -> Self {
        Self { code, not_run: true, message: message.into(), retry_after: None }
    }

    /// A failure of something that ran or may have run.
    #[must_use]
    pub fn may_have_run(code: code::Code, message: impl Into<String>) -> Self {
        Self { code, not_run: false, message: message.into(), retry_after: None }
    }

    /// Sets the time to come back.
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
