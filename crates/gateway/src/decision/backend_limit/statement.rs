//! What a run of a backend server said about its limit, and when.

use tokio::time;

use super::named_limit;

/// What a run of a backend server said about its limit in one response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// The limit that the response names.
    pub limit: named_limit::NamedLimit,
    /// When the request was sent.
    pub sent_at: time::Instant,
    /// When the response came.
    pub heard_at: time::Instant,
}
