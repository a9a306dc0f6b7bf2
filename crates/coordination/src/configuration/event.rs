//! What the acceptance of a change is told.

use crate::configuration;
use crate::store;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<T> {
    /// Begin, or look again after [`configuration::Outcome::Unknown`].
    Start,
    /// The row as it was read.
    ReadDone(store::VersionedRow<configuration::ConfigurationRow<T>>),
    /// The row could not be read.
    ReadFailed,
    /// The outcome of the write that was asked for.
    WriteDone(store::WriteOutcome),
}
