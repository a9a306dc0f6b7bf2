//! Who counted a record.

use serde::Deserialize;
use serde::Serialize;

/// Who counted a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordSource {
    /// An entry, from what passed through it.
    Entry,
    /// The agent, from the engine's own figures; it prevails.
    Agent,
}
