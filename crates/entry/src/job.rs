//! A caller's request after it was identified.

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::key;
use azuregap_wire::run;
use bytes::Bytes;
use tokio::time;

/// What is to be done for one caller.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id, the same over all attempts.
    pub id: ids::RequestId,
    /// The team that is billed; empty on open routes.
    pub team: ids::TeamId,
    /// Digest of the caller's key; none on open routes.
    pub key_digest: Option<key::Digest>,
    /// Class.
    pub class: intent::Class,
    /// Route.
    pub route: intent::Route,
    /// Whether the pool has model engines.
    pub model_pool: bool,
    /// The caller's `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Estimated cost in tokens.
    pub cost: u64,
    /// Hash of the start of the prompt, for prefix affinity.
    pub prefix_hash: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers that may reach a backend server.
    pub headers: Vec<run::Header>,
    /// Body.
    pub body: Bytes,
    /// When the answer must be whole.
    pub deadline: time::Instant,
}
