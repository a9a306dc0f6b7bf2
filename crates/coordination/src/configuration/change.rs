//! An accepted change.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// An accepted change, as recorded in the history of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Version that the change created.
    pub version: ids::Version,
    /// Id of the change.
    pub change: ids::ChangeId,
    /// Author of the change.
    pub author: String,
    /// Summary of the change, in short lines.
    pub summary: Vec<String>,
}
