//! The outcome of a conditional write.

use crate::ids;

/// Outcome of a conditional write, as the writer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Applied; the row now has this version.
    Applied(ids::RowVersion),
    /// Not applied: a condition did not hold.
    Conflict,
    /// Certainly not applied: the service refused the call or was never reached.
    Refused,
    /// No answer came: the write may have been applied, or may still be.
    Unknown,
}
