//! Limits for requests.

use std::time::Duration;

/// Limits for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time that a client may take to send the head of a request.
    pub head_timeout: Duration,
    /// Time that a client's connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// As in the sample configuration.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
