//! One step of a plan.

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// What a step does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Starts a backend server.
    Start,
    /// Stops a backend server gracefully.
    Stop,
    /// Starts a backend server in `zone` and then stops `backend` in another zone.
    Move,
    /// Does not start a replica that the demand or the minimum requires.
    Refuse,
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Step {
    /// What the step does.
    pub action: Action,
    /// The backend server that is stopped or moved.
    #[serde(default)]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub backend: Option<ids::BackendId>,
    /// The pool.
    pub pool: ids::PoolId,
    /// The zone: the destination of a move, the cheapest zone for a refusal.
    pub zone: ids::ZoneId,
    /// Why the step is taken.
    pub reason: String,
    /// Change of the cost, in millionths of the currency unit per hour; negative for a stop. For a
    /// refusal, the cost that the replica would add.
    pub cost: i64,
    /// Whether it can be ordered now. A start that is not ready waits for a stop to free its cost.
    pub ready: bool,
}
