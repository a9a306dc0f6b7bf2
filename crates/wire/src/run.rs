//! What an entry sends to an agent to run a request.

use std::time;

use azuregap_core::ids;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Path on the agent that takes a [`RunRequest`].
pub const RUN_PATH: &str = "/run";

/// Path on the agent that takes a [`ResumeRequest`].
pub const RESUME_PATH: &str = "/resume";

/// Path on the agent that takes a [`CancelRequest`].
pub const CANCEL_PATH: &str = "/cancel";

/// A caller's request on its way to a backend server.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunRequest {
    /// Version of the protocol, see [`crate::PROTOCOL`].
    pub protocol: u16,
    /// Id, the same over all attempts; the agent runs it at most once.
    pub id: ids::RequestId,
    /// The agent incarnation it is meant for; another one refuses it, nothing run.
    pub incarnation: ids::Incarnation,
    /// The entry that asks.
    pub entry: ids::NodeId,
    /// Version of the configuration the entry has.
    pub version: ids::Version,
    /// The team that is billed; empty on open routes.
    pub team: ids::TeamId,
    /// Class of the request.
    pub class: ids::ClassId,
    /// Tier of the class.
    pub tier: ids::Tier,
    /// Name of the route.
    pub route: String,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Estimated cost in tokens.
    pub cost: u64,
    /// Time left until the caller's deadline.
    pub deadline: time::Duration,
    /// Bytes of the answer the caller already has (resume on another replica).
    pub offset: u64,
    /// HTTP method for the backend server.
    pub method: String,
    /// Path and query for the backend server.
    pub path: String,
    /// Headers for the backend server, without key, cookies or internal headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Header {
    /// Lower-case name.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Asks for the rest of an answer after its connection was lost or went silent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ResumeRequest {
    /// Version of the protocol.
    pub protocol: u16,
    /// The request.
    pub id: ids::RequestId,
    /// The agent incarnation that accepted it; another incarnation answers "run unknown".
    pub incarnation: ids::Incarnation,
    /// Bytes of the answer already received.
    pub offset: u64,
    /// Whether the asker itself sent the request, and within the deadline of its class. Of an
    /// older request an agent may have forgotten that it ran.
    pub recent: bool,
}

/// Tells the agent that nobody waits for the request any more.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelRequest {
    /// Version of the protocol.
    pub protocol: u16,
    /// The request.
    pub id: ids::RequestId,
}
