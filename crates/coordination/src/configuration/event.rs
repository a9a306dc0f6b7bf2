//! What the acceptance of a change is told.

use crate::configuration;
use crate::store;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<T> {
    /// Begin, or look again after [`configuration::Verdict::Unsettled`].
    Start,
    /// The row as it was read.
    Read(store::Stored<configuration::ConfigurationRow<T>>),
    /// The row could not be read.
    ReadFailed,
    /// The outcome of the write that was asked for.
    Wrote(store::Outcome),
}
