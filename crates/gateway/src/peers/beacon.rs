//! The datagram by which a gateway tells the others of itself.

use std::time::Duration;

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

use crate::decision::windows;

/// Work of a gateway's requests at one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Work {
    /// Hash of the backend server's id.
    pub backend: u32,
    /// Requests sent and not finished.
    pub running: u32,
    /// Those of them with long prompts.
    pub long: u32,
    /// Prompt tokens of requests that have not produced their first event.
    pub prefill: u64,
    /// Those of requests that can't be on time any more.
    pub late: u64,
}

/// Requests of one team that began to run in one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Count {
    /// The window.
    pub window: u64,
    /// Hash of the team's name.
    pub team: windows::TeamHash,
    /// Its requests.
    pub requests: u64,
}

/// What a gateway says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Beacon {
    /// Name of the gateway's VM.
    pub node: ids::NodeId,
    /// Tells one start of the process from the next.
    pub incarnation: ids::Incarnation,
    /// Its estimate of the true time when it sent this.
    pub true_time: Duration,
    /// Its work at backend servers.
    pub work: Vec<Work>,
    /// Its counts of the newest windows.
    pub counts: Vec<Count>,
}
