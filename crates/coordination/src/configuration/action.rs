//! Actions requested by a proposal.

use crate::configuration;
use crate::ids;

/// Next action for the caller of [`configuration::Proposal::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<T> {
    /// Read the row and feed [`configuration::Event::ReadDone`] or
    /// [`configuration::Event::ReadFailed`].
    Read,
    /// Write the row if its version is unchanged, and feed [`configuration::Event::WriteDone`].
    Write {
        /// Required version of the row; 0 if it must be absent.
        version: ids::RowVersion,
        /// New value.
        row: configuration::ConfigurationRow<T>,
    },
    /// The proposal is complete.
    Settled(configuration::Outcome),
}
