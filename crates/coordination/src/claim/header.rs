//! A header of a stored answer.

use serde::Deserialize;
use serde::Serialize;

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Header {
    /// Lower-case name.
    pub name: String,
    /// Value.
    pub value: String,
}
