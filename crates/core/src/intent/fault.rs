//! Faults found by validation.

use serde::Deserialize;
use serde::Serialize;

use crate::code;

/// A fault in an intent or in settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Fault {
    /// Path of the field, for example `routes[2].pool`.
    pub path: String,
    /// Result code.
    pub code: code::Code,
    /// Description of the expected value.
    pub expected: String,
}

impl Fault {
    /// Creates a fault at `path`.
    #[must_use]
    pub fn new(path: impl Into<String>, code: code::Code, expected: impl Into<String>) -> Self {
        Self { path: path.into(), code, expected: expected.into() }
    }
}
