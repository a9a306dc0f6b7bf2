//! Conflict between changes.

use crate::configuration;
use crate::ids;

/// Another change has been accepted since version `base`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Version on which the rejected change is based.
    pub base: ids::Version,
    /// Current version.
    pub version: ids::Version,
    /// Changes that have been accepted since `base`, newest first.
    pub since: Vec<configuration::AcceptedChange>,
}
