//! Outcome of a conditional write.

use crate::ids;

/// Outcome of a conditional write, as observed by the writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Applied; carries the new version of the row.
    Applied(ids::RowVersion),
    /// Not applied: a version condition failed.
    Conflict,
    /// Not applied, with certainty: the service rejected the call or could not be reached.
    Refused,
    /// No response: the write may have been applied or may still be applied.
    Unknown,
}
