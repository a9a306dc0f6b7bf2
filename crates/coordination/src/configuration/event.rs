//! Events handled by a proposal.

use crate::configuration;
use crate::store;

/// Input of [`configuration::Proposal::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<T> {
    /// Start, or retry after [`configuration::Outcome::Unknown`].
    Start,
    /// The row was read.
    ReadDone(store::VersionedRow<configuration::ConfigurationRow<T>>),
    /// The read failed.
    ReadFailed,
    /// The requested write completed with this outcome.
    WriteDone(store::WriteOutcome),
}
