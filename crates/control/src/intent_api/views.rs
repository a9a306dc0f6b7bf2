//! Documents of the intent API.

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
    /// The team it is for.
    pub team: ids::TeamId,
    /// SHA-256 digest of the key.
    pub digest: key::Digest,
}

/// Answer to a change of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionView {
    /// The version it is in force from.
    pub version: ids::Version,
}

/// Answer to `GET /v1/intent`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct IntentView {
    /// Version in force.
    pub version: ids::Version,
    /// Who made it.
    pub by: String,
    /// What is declared.
    pub intent: intent::Intent,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// The entry that answers.
    pub node: ids::NodeId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Version in force here.
    pub version: ids::Version,
    /// How long ago this version was known to be the newest, in milliseconds; none if never.
    pub age_ms: Option<u64>,
    /// The entry in charge, as far as this one knows.
    pub holder: Option<ids::NodeId>,
    /// Fencing number, if this entry is in charge.
    pub fence: Option<ids::Fence>,
    /// The agents known here.
    pub agents: Vec<AgentView>,
}

/// An agent in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AgentView {
    /// Its name.
    pub node: ids::NodeId,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// The backend server beside it.
    pub backend: ids::BackendId,
    /// The pool it serves.
    pub pool: ids::PoolId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Whether it takes no new work.
    pub leaving: bool,
}
