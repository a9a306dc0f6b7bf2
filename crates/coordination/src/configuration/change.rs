//! A change that was accepted.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// A change that was accepted, as it is remembered in the row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Version that it made.
    pub version: ids::Version,
    /// Id of the change.
    pub change: ids::ChangeId,
    /// Who made it.
    pub author: String,
    /// What it changed, one short line each.
    pub summary: Vec<String>,
}
