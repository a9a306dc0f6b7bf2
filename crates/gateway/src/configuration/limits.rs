//! Bounds on what a caller may send.

use std::time::Duration;

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest body, in bytes.
    pub body: usize,
    /// Longest time that a caller's connection may be idle.
    pub idle: Duration,
}

impl Default for Limits {
    /// 4 MiB and 15 s, the values of the sample configuration.
    fn default() -> Self {
        Self { body: 4 << 20, idle: Duration::from_secs(15) }
    }
}
