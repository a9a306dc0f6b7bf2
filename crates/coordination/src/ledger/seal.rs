//! Seal of a window by a writer.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// Records that a writer has no more records for a window.
///
/// Seals only determine when a window is closed. Correctness does not depend on them, because a
/// batch that arrives after the closing moves to a later window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SealRow {
    /// Sealed window.
    pub window: ids::WindowId,
    /// Writer that sealed the window.
    pub writer: ids::NodeId,
    /// Incarnation of the writer.
    pub incarnation: ids::Incarnation,
}

impl SealRow {
    /// Key prefix of all seals of a window.
    #[must_use]
    pub fn prefix(window: ids::WindowId) -> String {
        format!("seal/{window:012}/")
    }

    /// Key of the row.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{}{}/{:016x}", Self::prefix(self.window), self.writer, self.incarnation)
    }
}

/// The live writers that have not sealed a window.
///
/// The window should be closed once there are none, or after the maximum wait set by the operator.
/// Agents that are known to be dead do not count as live: the entries that hold copies of their
/// records seal the window only after writing them.
pub fn unsealed_writers<'a>(
    live: impl IntoIterator<Item = (&'a str, ids::Incarnation)>,
    seals: &[SealRow],
) -> Vec<&'a str> {
    let sealed = |writer: &str, incarnation| {
        seals.iter().any(|seal| seal.writer == writer && seal.incarnation == incarnation)
    };
    let unsealed = live.into_iter().filter(|(writer, incarnation)| !sealed(writer, *incarnation));
    unsealed.map(|(writer, _)| writer).collect()
}
