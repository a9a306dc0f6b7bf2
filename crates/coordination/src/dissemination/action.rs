//! Actions requested by the disseminator.

use tokio::time;

use crate::ids;

/// Action for the caller of [`crate::dissemination::Disseminator::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the configuration row, if the read budget allows it, and feed
    /// [`crate::dissemination::Event::Answered`] or [`crate::dissemination::Event::Failed`].
    Read,
    /// Query the version and the proof of freshness of this process, and feed the same events.
    Query(ids::NodeId),
    /// Notify this process of the local version; no event is fed back.
    Notify(ids::NodeId),
    /// Feed [`crate::dissemination::Event::Tick`] at this instant.
    Wait(time::Instant),
}
