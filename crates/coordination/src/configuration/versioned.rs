//! A register that only moves to higher versions.

use crate::configuration;
use crate::ids;

/// A value with the highest version seen so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionedValue<T> {
    version: ids::Version,
    value: Option<T>,
}

impl<T> VersionedValue<T> {
    /// A register that has seen nothing; its version is 0.
    #[must_use]
    pub const fn new() -> Self {
        Self { version: 0, value: None }
    }

    /// The version in force; 0 before the first.
    #[must_use]
    pub const fn version(&self) -> ids::Version {
        self.version
    }

    /// The value in force.
    #[must_use]
    pub const fn value(&self) -> Option<&T> {
        self.value.as_ref()
    }

    /// Takes `value` if its version is higher than the one in force.
    pub fn update(&mut self, version: ids::Version, value: T) -> configuration::UpdateOutcome {
        match version.cmp(&self.version) {
            std::cmp::Ordering::Less => configuration::UpdateOutcome::Stale,
            std::cmp::Ordering::Equal => configuration::UpdateOutcome::Unchanged,
            std::cmp::Ordering::Greater => {
                self.version = version;
                self.value = Some(value);
                configuration::UpdateOutcome::Applied
            }
        }
    }

    /// Whether a peer that has `version` has something newer.
    #[must_use]
    pub const fn is_behind(&self, version: ids::Version) -> bool {
        self.version < version
    }
}
