//! The report of one window.

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// The report of one window; its JSON text is what is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Number of the window since the Unix epoch.
    pub window: u64,
    /// Length of a window, in seconds.
    pub length_s: u64,
    /// Usage by team, in the order of their names.
    pub teams: Vec<TeamUsage>,
}

/// Usage of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TeamUsage {
    /// The team.
    pub team: ids::TeamId,
    /// Whether it was counted in an earlier window that had been closed.
    pub late: bool,
    /// Requests.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Generated tokens.
    pub output: u64,
}
