//! Header of a stored response.

use serde::Deserialize;
use serde::Serialize;

/// HTTP header.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}
