//! The row of the configuration in force.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration;
use crate::ids;

/// The row of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationRow<T> {
    /// The configuration.
    pub value: T,
    /// The latest changes, newest first, at most [`Self::MAX_HISTORY`].
    pub history: Vec<configuration::AcceptedChange>,
}

impl<T> ConfigurationRow<T> {
    /// How many changes are remembered, to tell an author of a conflict or a repeat what happened.
    pub const MAX_HISTORY: usize = 32;

    /// Version in force.
    #[must_use]
    pub fn version(&self) -> ids::Version {
        self.history.first().map_or(0, |last| last.version)
    }

    /// The change with this id, if it is remembered.
    #[must_use]
    pub fn find_change(&self, change: &str) -> Option<&configuration::AcceptedChange> {
        self.history.iter().find(|accepted| accepted.change == change)
    }

    /// The changes after `base`, newest first.
    pub fn changes_since(
        &self,
        base: ids::Version,
    ) -> impl Iterator<Item = &configuration::AcceptedChange> {
        self.history.iter().take_while(move |accepted| accepted.version > base)
    }

    /// Whether every change after `base` is remembered.
    #[must_use]
    pub fn covers(&self, base: ids::Version) -> bool {
        self.history.last().is_none_or(|first| first.version <= base + 1)
    }
}
