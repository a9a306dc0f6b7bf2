//! A value whose version only increases.

use crate::configuration;
use crate::ids;

/// The value with the highest version seen so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionedValue<T> {
    version: ids::Version,
    value: Option<T>,
}

impl<T> VersionedValue<T> {
    /// Creates an unset value with version 0.
    #[must_use]
    pub const fn new() -> Self {
        Self { version: 0, value: None }
    }

    /// The current version; 0 if there is no value yet.
    #[must_use]
    pub const fn version(&self) -> ids::Version {
        self.version
    }

    /// The current value.
    #[must_use]
    pub const fn value(&self) -> Option<&T> {
        self.value.as_ref()
    }

    /// Replaces the value if `version` is higher than the current version.
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

    /// Whether `version`, the version of a peer, is newer than the current one.
    #[must_use]
    pub const fn is_behind(&self, version: ids::Version) -> bool {
        self.version < version
    }
}
