//! A backend server as the planner sees it.

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// A backend server that runs or may run, and costs money either way.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub name: ids::BackendId,
    /// The pool it serves.
    pub pool: ids::PoolId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// How far it is.
    pub state: BackendState,
}

/// How far a backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// It serves.
    Running,
    /// It was ordered, or may have been.
    Pending,
    /// It takes no new work and stops when its work is done.
    Leaving,
}
