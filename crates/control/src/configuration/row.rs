//! The row of the table service that holds the newest configuration.

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::settings;
use serde::Deserialize;
use serde::Serialize;

use crate::snapshot;

/// Key of the row.
pub const CURRENT: &str = "config/current";

/// Value of the row at [`CURRENT`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationRow {
    /// Version of the configuration; it only grows.
    pub version: ids::Version,
    /// Who made the change.
    pub by: String,
    /// The [`intent::Intent`] as JSON text.
    pub text: String,
    /// The latest change of what operators declare. Keys that are given or withdrawn and backend
    /// servers that are told to leave move the version on, but not this.
    #[serde(default)]
    pub declared: Declared,
}

/// The latest change of what operators declare.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Declared {
    /// The version it made.
    pub version: ids::Version,
    /// The operator.
    pub by: String,
    /// What changed, one path each.
    pub changes: Vec<String>,
}

impl ConfigurationRow {
    /// The declared intent; an empty one before the first change.
    ///
    /// # Errors
    ///
    /// [`settings::LoadError`] when the text is no intent.
    pub fn intent(&self) -> Result<intent::Intent, settings::LoadError> {
        if self.version == 0 {
            return Ok(intent::Intent::default());
        }
        settings::from_text(&self.text)
    }

    /// The row's snapshot.
    ///
    /// # Errors
    ///
    /// [`settings::LoadError`] when the text is no intent.
    pub fn snapshot(&self) -> Result<snapshot::Snapshot, settings::LoadError> {
        Ok(snapshot::Snapshot::new(self.version, self.intent()?))
    }
}
