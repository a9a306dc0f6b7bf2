//! Messages that an entry sends to an agent to run, resume or cancel a request.

use std::time;

use azuregap_core::ids;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// HTTP path on the agent that accepts a [`RunRequest`].
pub const RUN_PATH: &str = "/run";

/// HTTP path on the agent that accepts a [`ResumeRequest`].
pub const RESUME_PATH: &str = "/resume";

/// HTTP path on the agent that accepts a [`CancelRequest`].
pub const CANCEL_PATH: &str = "/cancel";

/// A caller's request, forwarded to the agent of a backend server.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunRequest {
    /// Protocol version, see [`crate::PROTOCOL`].
    pub protocol: u16,
    /// Request id, unchanged across attempts; the agent runs the request at most once.
    pub id: ids::RequestId,
    /// Incarnation of the agent that the request is addressed to; any other incarnation rejects
    /// it without running it.
    pub incarnation: ids::Incarnation,
    /// Name of the sending entry.
    pub entry: ids::NodeId,
    /// Configuration version of the entry.
    pub version: ids::Version,
    /// Team that is billed; empty on open routes.
    pub team: ids::TeamId,
    /// Class of the request.
    pub class: ids::ClassId,
    /// Tier of the class.
    pub tier: ids::Tier,
    /// Name of the route.
    pub route: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Estimated cost in tokens.
    pub cost: u64,
    /// Time remaining until the caller's deadline.
    pub deadline: time::Duration,
    /// Number of response bytes that the caller has already received, for a resume on another
    /// replica.
    pub offset: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the backend server, without the key, cookies and internal headers.
    pub headers: Vec<Header>,
    /// Request body.
    pub body: Bytes,
}

/// An HTTP header.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Requests the rest of a response after its connection was lost or became idle.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ResumeRequest {
    /// Protocol version.
    pub protocol: u16,
    /// Request id.
    pub id: ids::RequestId,
    /// Incarnation of the agent that accepted the request; any other incarnation responds with
    /// [`RunUnknown`](azuregap_core::code::Code::RunUnknown).
    pub incarnation: ids::Incarnation,
    /// Number of response bytes already received.
    pub offset: u64,
    /// Whether the sender itself sent the request, within the deadline of its class. An agent may
    /// no longer have a record of an older request that ran.
    pub recent: bool,
}

/// Tells the agent that the response is no longer needed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelRequest {
    /// Protocol version.
    pub protocol: u16,
    /// Request id.
    pub id: ids::RequestId,
}
