//! What the acceptance of a change asks its caller to do.

use crate::configuration;
use crate::ids;

/// What to do next for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<T> {
    /// Read the row and feed [`configuration::Event::ReadDone`] or
    /// [`configuration::Event::ReadFailed`].
    Read,
    /// Write the row if it still has this version and feed [`configuration::Event::WriteDone`].
    Write {
        /// Version that the row must have.
        version: ids::RowVersion,
        /// New value.
        row: configuration::ConfigurationRow<T>,
    },
    /// Nothing is left to do.
    Settled(configuration::Outcome),
}
