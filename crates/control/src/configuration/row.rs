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
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationRow {
    /// Version of the configuration; it only grows.
    pub version: ids::Version,
    /// The operator who made the change.
    pub by: String,
    /// The [`intent::Intent`] as JSON text.
    pub text: String,
}

impl ConfigurationRow {
    /// The row's snapshot.
    ///
    /// # Errors
    ///
    /// [`settings::LoadError`] when the text is no intent.
    pub fn snapshot(&self) -> Result<snapshot::Snapshot, settings::LoadError> {
        let intent: intent::Intent = settings::from_text(&self.text)?;
        Ok(snapshot::Snapshot::new(self.version, intent))
    }
}
