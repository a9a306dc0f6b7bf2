//! The part of a gossip message that each gateway passes on when it is new to it.

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

use crate::decision::quarantine;

/// A run of a backend server that says that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeavingBackend {
    /// Hash of its id.
    pub backend_hash: u32,
    /// Start of the run, in milliseconds since 1970.
    pub started_ms: u64,
}

/// What each gateway passes on when it is new to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct News {
    /// Prompt segments that were part of crashes of backend servers, for gateways of earlier versions.
    pub segments: Vec<quarantine::SegmentSuspect>,
    /// Backend servers that began to leave in the last seconds.
    pub leaving: Vec<LeavingBackend>,
    /// Version of the configuration that is in force at the sender.
    pub configuration: Option<ids::Version>,
}
