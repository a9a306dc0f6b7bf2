//! The report of one window.

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// The report of one window; it is sent as JSON text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Number of the window since the Unix epoch.
    pub window: u64,
    /// Length of a window, in seconds.
    pub length_s: u64,
    /// Usage by team, sorted by team name.
    pub teams: Vec<TeamUsage>,
}

/// Usage of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: ids::TeamId,
    /// Whether the usage belongs to an earlier window that was already closed.
    pub late: bool,
    /// Number of requests.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Generated tokens.
    pub output: u64,
}
