//! Why a change was not accepted.

use crate::configuration;
use crate::ids;

/// Another change was accepted since the one that was made from `base`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Version that the refused change was made from.
    pub base: ids::Version,
    /// Version in force.
    pub version: ids::Version,
    /// What was accepted since, newest first; who, and what changed.
    pub since: Vec<configuration::AcceptedChange>,
}
