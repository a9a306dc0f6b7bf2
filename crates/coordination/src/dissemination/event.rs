//! What the spreading of versions is told.

use crate::ids;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message of any kind showed the version that its sender has.
    PeerVersion {
        /// The sender.
        from: ids::NodeId,
        /// The sender's version.
        version: ids::Version,
    },
    /// A question or read was answered; feed [`Event::Applied`] first if it brought a newer version.
    Answered,
    /// A question or read was not answered, or the proof that came with the answer is too old to
    /// be of use; the next source is asked.
    Failed,
    /// This version is in force here now, wherever it came from.
    Applied(ids::Version),
}
