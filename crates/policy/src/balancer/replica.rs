//! A replica among which requests are balanced.

use azuregap_core::ids;

/// A replica among which requests are balanced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Node name of the agent that runs beside the backend server.
    pub node: ids::NodeId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Requests the backend server runs concurrently.
    pub slots: u32,
    /// Whether the model or adapter is loaded.
    pub ready: bool,
    /// Whether it finishes its requests and accepts no new ones.
    pub leaving: bool,
}

impl Replica {
    /// A replica that is ready and not leaving.
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

    /// Sets whether it accepts no new requests.
    #[must_use]
    pub const fn leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }
}
