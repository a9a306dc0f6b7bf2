//! Events handled by the disseminator.

use crate::ids;

/// Input of [`crate::dissemination::Disseminator::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has elapsed.
    Tick,
    /// A message of any kind carried the version of its sender.
    PeerVersion {
        /// The sender.
        from: ids::NodeId,
        /// The sender's version.
        version: ids::Version,
    },
    /// A query or read succeeded; feed [`Event::Applied`] first if it returned a newer version.
    Answered,
    /// A query or read failed, or returned a proof that is too old to be useful; the next source is
    /// queried.
    Failed,
    /// This version is now applied locally, regardless of its source.
    Applied(ids::Version),
}
