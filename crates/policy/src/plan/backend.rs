//! A backend server as seen by the planner.

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// A backend server that runs or may run. Its cost is counted in either case.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub name: ids::BackendId,
    /// The pool it serves.
    pub pool: ids::PoolId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Its lifecycle state.
    pub state: BackendState,
}

/// Lifecycle state of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// It serves requests.
    Running,
    /// Its start was ordered, or may have been.
    Pending,
    /// It accepts no new requests and stops when its running ones are done.
    Leaving,
}
