//! The configuration row.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration;
use crate::ids;

/// Durable state of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationRow<T> {
    /// The configuration.
    pub value: T,
    /// The latest changes, newest first; at most [`Self::MAX_HISTORY`].
    pub history: Vec<configuration::AcceptedChange>,
}

impl<T> ConfigurationRow<T> {
    /// Maximum length of the history, which serves to report conflicts and to detect retries.
    pub const MAX_HISTORY: usize = 32;

    /// Current version.
    #[must_use]
    pub fn version(&self) -> ids::Version {
        self.history.first().map_or(0, |last| last.version)
    }

    /// The change with this id, if it is in the history.
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

    /// Whether the history contains every change after `base`.
    #[must_use]
    pub fn covers(&self, base: ids::Version) -> bool {
        self.history.last().is_none_or(|first| first.version <= base + 1)
    }
}
