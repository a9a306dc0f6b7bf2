//! Where the body of a stored answer is.

use serde::Deserialize;
use serde::Serialize;
use serde_with::base64;
use serde_with::serde_as;

/// Body of a stored answer.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseBody {
    /// The bytes themselves; written as base64.
    Inline(#[serde_as(as = "base64::Base64")] Vec<u8>),
    /// An object in the object store, written before the claim row refers to it.
    Object {
        /// Key of the object.
        key: String,
        /// Length in bytes.
        length: u64,
    },
}
