//! Actions requested by the lease state machine.

use tokio::time;

use crate::ids;
use crate::lease;

/// Next action for the caller of [`lease::Lease::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the row and feed [`lease::Event::ReadDone`] or [`lease::Event::ReadFailed`].
    Read,
    /// Write the row if its version is unchanged, and feed [`lease::Event::WriteDone`].
    Write {
        /// Required version of the row.
        version: ids::RowVersion,
        /// New value.
        row: lease::LeaseRow,
    },
    /// Feed [`lease::Event::Tick`] at this instant; an earlier tick is harmless.
    Wait(time::Instant),
    /// A call is in progress; feed its result.
    Pending,
    /// The candidate has resigned for good.
    Resigned,
}
