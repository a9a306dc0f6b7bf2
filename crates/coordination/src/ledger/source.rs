//! Source of a usage record.

use serde::Deserialize;
use serde::Serialize;

/// Process that counted the usage of a record. The higher variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordSource {
    /// An entry, from the traffic that it forwarded.
    Entry,
    /// The agent, from the figures of the engine; takes precedence.
    Agent,
}
