//! What a lease asks its caller to do.

use tokio::time;

use crate::ids;
use crate::lease;

/// What to do next for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the row and feed [`lease::Event::ReadDone`] or [`lease::Event::ReadFailed`].
    Read,
    /// Write the row if it still has this version and feed [`lease::Event::WriteDone`].
    Write {
        /// Version that the row must have.
        version: ids::RowVersion,
        /// New value.
        row: lease::LeaseRow,
    },
    /// Feed [`lease::Event::Tick`] at this instant; earlier does no harm.
    Wait(time::Instant),
    /// A call is under way; feed its result.
    Pending,
    /// The lease was given up for good.
    Resigned,
}
