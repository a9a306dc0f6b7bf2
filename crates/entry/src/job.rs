//! A caller's request after authentication and route matching.

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::key;
use azuregap_wire::run;
use bytes::Bytes;
use tokio::time;

/// An authenticated request with its route, class and deadline.
#[derive(Clone, Debug)]
pub struct Job {
    /// Request id, the same for all attempts.
    pub id: ids::RequestId,
    /// Team that is billed; empty on routes that need no API key.
    pub team: ids::TeamId,
    /// Digest of the caller's API key; none on routes that need no API key.
    pub key_digest: Option<key::Digest>,
    /// Request class.
    pub class: intent::Class,
    /// Matched route.
    pub route: intent::Route,
    /// Whether the route's pool runs model engines.
    pub model_pool: bool,
    /// The caller's `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Estimated cost in tokens.
    pub cost: u64,
    /// Hash of the start of the prompt, for prefix-cache affinity.
    pub prefix_hash: u64,
    /// HTTP method.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Headers that are forwarded to the backend server.
    pub headers: Vec<run::Header>,
    /// Request body.
    pub body: Bytes,
    /// Time by which the response must be complete.
    pub deadline: time::Instant,
}
