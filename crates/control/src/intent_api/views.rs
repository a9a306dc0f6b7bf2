//! Request and response documents of the intent API.

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::key;
use serde::Deserialize;
use serde::Serialize;

/// Body of `POST /v1/keys`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantKeyRequest {
    /// Team that the key belongs to.
    pub team: ids::TeamId,
    /// SHA-256 digest of the key.
    pub digest: key::Digest,
}

/// Response to a key change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionView {
    /// Configuration version from which the change applies.
    pub version: ids::Version,
}

/// Response to `GET /v1/intent`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct IntentView {
    /// Current configuration version.
    pub version: ids::Version,
    /// Author of this version.
    pub by: String,
    /// The declared intent.
    pub intent: intent::Intent,
}

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// The entry that responds.
    pub node: ids::NodeId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Configuration version of this entry.
    pub version: ids::Version,
    /// Time since this version was last known to be the newest, in milliseconds; `None` if never.
    pub age_ms: Option<u64>,
    /// The entry that holds the lease, as far as this entry knows.
    pub holder: Option<ids::NodeId>,
    /// Fencing token, if this entry holds the lease.
    pub fence: Option<ids::Fence>,
    /// Agents known to this entry.
    pub agents: Vec<AgentView>,
}

/// An agent in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AgentView {
    /// Node name of the agent.
    pub node: ids::NodeId,
    /// Incarnation of the agent.
    pub incarnation: ids::Incarnation,
    /// Backend server of the agent.
    pub backend: ids::BackendId,
    /// Pool of the backend server.
    pub pool: ids::PoolId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Whether the backend server accepts no new work.
    pub leaving: bool,
}
