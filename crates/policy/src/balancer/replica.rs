//! A replica that may be chosen.

use azuregap_core::ids;

/// A replica that may be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The agent beside the backend server.
    pub node: ids::NodeId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Requests the backend server runs at once.
    pub slots: u32,
    /// Whether the model or adapter is loaded.
    pub ready: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
}

impl Replica {
    /// A replica that is ready and stays.
    #[must_use]
    pub fn new(node: impl Into<ids::NodeId>, zone: impl Into<ids::ZoneId>, slots: u32) -> Self {
        Self { node: node.into(), zone: zone.into(), slots, ready: true, leaving: false }
    }

    /// Sets whether the model or adapter is loaded.
    #[must_use]
    pub const fn ready(mut self, ready: bool) -> Self {
        self.ready = ready;
        self
    }

    /// Sets whether it takes no new work.
    #[must_use]
    pub const fn leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }
}
