//! Bounds on what a caller may send.

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for Limits {
    /// 4 MiB, the value of the sample configuration.
    fn default() -> Self {
        Self { max_body_bytes: 4 << 20 }
    }
}
