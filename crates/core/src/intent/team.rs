//! Teams and their keys.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::key;

/// A team, the tenant to which limits and billing apply.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    pub name: ids::TeamId,
    /// Weight in fair sharing; a team of weight 2 gets twice the tokens of one of weight 1.
    pub weight: u32,
    /// Maximum requests per second across all entries; `None` means no limit.
    #[serde(default)]
    pub rate: Option<u32>,
    /// Maximum concurrent requests across all entries; `None` means no limit.
    #[serde(default)]
    pub concurrency: Option<u32>,
}

/// A key issued to a team.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyGrant {
    /// SHA-256 digest of the key.
    pub digest: key::Digest,
    /// Team that the key belongs to.
    pub team: ids::TeamId,
    /// Whether the key was revoked.
    #[serde(default)]
    pub withdrawn: bool,
}
