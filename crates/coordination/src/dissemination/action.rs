//! What the spreading of versions asks its caller to do.

use tokio::time;

use crate::ids;

/// What to do for the spreading of versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the configuration row, if the read budget allows it, and feed
    /// [`crate::dissemination::Event::Answered`] or [`crate::dissemination::Event::Failed`].
    Read,
    /// Ask this process for its version and proof, and feed the same events.
    Query(ids::NodeId),
    /// Tell this process which version is in force here; nothing is fed back.
    Notify(ids::NodeId),
    /// Feed [`crate::dissemination::Event::Tick`] at this instant.
    Wait(time::Instant),
}
