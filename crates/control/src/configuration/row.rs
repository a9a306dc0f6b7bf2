//! The table service row that stores the current configuration.

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
    /// Configuration version, which only increases.
    pub version: ids::Version,
    /// Operator that made the change.
    pub by: String,
    /// The [`intent::Intent`] as JSON text.
    pub text: String,
    /// The last change of the declared intent. Granting or revoking a key and draining a backend
    /// server increase the version without changing this field.
    #[serde(default)]
    pub declared: Declared,
}

/// The last change of the declared intent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Declared {
    /// Configuration version that the change created.
    pub version: ids::Version,
    /// Operator that made the change.
    pub by: String,
    /// Paths of the changed items.
    pub changes: Vec<String>,
}

impl ConfigurationRow {
    /// Parses the intent; it is empty before the first change.
    ///
    /// # Errors
    ///
    /// [`settings::LoadError`] if the text is not a valid intent.
    pub fn intent(&self) -> Result<intent::Intent, settings::LoadError> {
        if self.version == 0 {
            return Ok(intent::Intent::default());
        }
        settings::from_text(&self.text)
    }

    /// Builds the snapshot of the row.
    ///
    /// # Errors
    ///
    /// [`settings::LoadError`] if the text is not a valid intent.
    pub fn snapshot(&self) -> Result<snapshot::Snapshot, settings::LoadError> {
        Ok(snapshot::Snapshot::new(self.version, self.intent()?))
    }
}
