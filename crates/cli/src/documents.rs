//! Reading and recognising the files people write.

use std::fs;
use std::path;

use azuregap_core::code;
use azuregap_core::intent;
use azuregap_core::settings;
use serde_json::Value;

use crate::error;

/// A document of one of the three kinds.
#[derive(Debug)]
pub(crate) enum Document {
    /// Settings of an entry.
    Entry(settings::EntrySettings),
    /// Settings of an agent.
    Agent(settings::AgentSettings),
    /// An intent.
    Intent(intent::Intent),
}

impl Document {
    /// Reads the document at `path`; its kind is told by the fields it has.
    ///
    /// # Errors
    ///
    /// [`error::CliError::File`] or [`error::CliError::Document`].
    pub(crate) fn read(path: &path::Path) -> error::CliResult<Self> {
        let text = read_text(path)?;
        let invalid = |fault| error::CliError::Document(path.display().to_string(), fault);
        let value: Value = settings::from_text(&text).map_err(invalid)?;
        let has = |names: &[&str]| names.iter().any(|name| value.get(name).is_some());
        let document = if has(&["engine", "backend", "checks_fence"]) {
            settings::from_text(&text).map(Self::Agent)
        } else if has(&["operators", "operator_keys", "workers"]) {
            settings::from_text(&text).map(Self::Entry)
        } else if has(&["classes", "teams", "pools", "routes", "zones"]) {
            settings::from_text(&text).map(Self::Intent)
        } else {
            Err(unknown_kind())
        };
        document.map_err(invalid)
    }

    /// The kind, for people.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Entry(_) => "entry",
            Self::Agent(_) => "agent",
            Self::Intent(_) => "intent",
        }
    }

    /// Every fault of the document by itself.
    pub(crate) fn check(&self) -> Vec<intent::Fault> {
        match self {
            Self::Entry(entry) => entry.check(),
            Self::Agent(agent) => agent.check(),
            Self::Intent(intent) => intent.check(),
        }
    }
}

/// Reads a text file.
///
/// # Errors
///
/// [`error::CliError::File`] when it cannot be read.
fn read_text(path: &path::Path) -> error::CliResult<String> {
    let unreadable = |reason: std::io::Error| {
        error::CliError::File(path.display().to_string(), reason.to_string())
    };
    fs::read_to_string(path).map_err(unreadable)
}

fn unknown_kind() -> settings::LoadError {
    let expected = "the settings of an entry (with 'operators') or of an agent (with 'engine'), \
                    or an intent (with 'routes')";
    settings::LoadError::Invalid(intent::Fault::new(".", code::Code::JsonInvalid, expected))
}
