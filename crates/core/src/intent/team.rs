//! Teams and the keys given to them.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::key;

/// A team: the tenant that is limited and billed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    pub name: ids::TeamId,
    /// Weight in fair sharing; a team of weight 2 gets twice the tokens of one of weight 1.
    pub weight: u32,
    /// Requests per second over all entries; none means no limit.
    #[serde(default)]
    pub rate: Option<u32>,
    /// Requests at once over all entries; none means no limit.
    #[serde(default)]
    pub concurrency: Option<u32>,
}

/// A key given to a team.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyGrant {
    /// SHA-256 digest of the key.
    pub digest: key::Digest,
    /// The team it belongs to.
    pub team: ids::TeamId,
    /// Whether it was withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}
