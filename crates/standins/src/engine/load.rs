//! Load as the engine reports it.

use serde::Deserialize;
use serde::Serialize;

/// Load of the engine some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests running.
    pub running: usize,
    /// Requests waiting for a slot.
    pub waiting: usize,
    /// Slots.
    pub slots: usize,
    /// Tokens still to be generated.
    pub backlog: u64,
}
