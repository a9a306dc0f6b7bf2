//! Limits for requests.

/// Limits for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for Limits {
    /// 4 MiB, as in the sample configuration.
    fn default() -> Self {
        Self { max_body_bytes: 4 << 20 }
    }
}
