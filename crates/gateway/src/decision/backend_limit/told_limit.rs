//! What a gateway has heard about the limit of a backend server.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// What a gateway has heard about the limit of a backend server. Times are ages, so the clocks of
/// gateways need not agree.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ToldLimit {
    /// Hash of its id.
    pub backend_hash: u32,
    /// Start of the run, in milliseconds since 1970.
    pub started_ms: u64,
    /// Requests per second that it takes; `None` if it names a limit no more.
    pub limit: Option<f64>,
    /// Time since the request of the newest response was sent.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub sent_age: Duration,
    /// Time since the newest response came.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub heard_age: Duration,
}
