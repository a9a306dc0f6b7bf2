//! Location of the body of a stored response.

use serde::Deserialize;
use serde::Serialize;
use serde_with::base64;
use serde_with::serde_as;

/// Body of a stored response.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseBody {
    /// The bytes, serialised as base64.
    Inline(#[serde_as(as = "base64::Base64")] Vec<u8>),
    /// An object in the object store, written before the claim row that refers to it.
    Object {
        /// Object key.
        key: String,
        /// Length in bytes.
        length: u64,
    },
}
