//! A writer has nothing more for a window.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// A writer has nothing more for a window.
///
/// Seals only tell when closing is worth while; correctness does not rest on them, because a batch
/// that comes after the closing goes into a later window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SealRow {
    /// The window.
    pub window: ids::WindowId,
    /// The writer.
    pub writer: ids::NodeId,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
}

impl SealRow {
    /// Prefix of the keys of all seals of a window.
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

/// The live writers that have not sealed; the window should be closed once there are none, or
/// after the operators' longest wait. Agents that are known dead are not live: the entries that
/// hold their copies seal only after they wrote them.
pub fn unsealed_writers<'a>(
    live: impl IntoIterator<Item = (&'a str, ids::Incarnation)>,
    seals: &[SealRow],
) -> Vec<&'a str> {
    let sealed = |writer: &str, incarnation| {
        seals.iter().any(|seal| seal.writer == writer && seal.incarnation == incarnation)
    };
    let open = live.into_iter().filter(|(writer, incarnation)| !sealed(writer, *incarnation));
    open.map(|(writer, _)| writer).collect()
}
