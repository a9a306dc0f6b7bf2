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
    /// Does not start a replica that the demand or the minimum asks for.
    Refuse,
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Step {
    /// What it does.
    pub action: Action,
    /// The backend server that stops or moves.
    #[serde(default)]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub backend: Option<ids::BackendId>,
    /// The pool.
    pub pool: ids::PoolId,
    /// The zone; for a move the one it goes to, for a refusal the cheapest.
    pub zone: ids::ZoneId,
    /// Why.
    pub reason: String,
    /// What it adds per hour, or would add for a refusal; negative for a stop. In millionths of
    /// the currency unit.
    pub cost: i64,
    /// Whether it can be ordered now. A start that is not ready waits until a stop made room.
    pub ready: bool,
}
