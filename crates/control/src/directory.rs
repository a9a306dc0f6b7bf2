//! The agents known to this process.

use std::sync;

use arc_swap::ArcSwap;
use azuregap_core::ids;

/// An agent that requests can be dispatched to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agent {
    /// Node name of the agent.
    pub node: ids::NodeId,
    /// Incarnation of the agent process.
    pub incarnation: ids::Incarnation,
    /// Availability zone of the agent.
    pub zone: ids::ZoneId,
    /// Name of the backend server that the agent fronts.
    pub backend: ids::BackendId,
    /// Pool that the backend server belongs to.
    pub pool: ids::PoolId,
    /// `host:port` that serves requests.
    pub runs: String,
    /// `host:port` for control messages.
    pub control: String,
    /// Whether the agent is draining and takes no new requests.
    pub leaving: bool,
}

/// Shared list of agents, registered under [`Directory::NAME`].
#[derive(Clone, Debug, Default)]
pub struct Directory {
    agents: sync::Arc<ArcSwap<Vec<Agent>>>,
}

impl Directory {
    /// Registry name.
    pub const NAME: &'static str = "directory";

    /// Returns the known agents, sorted by node name.
    #[must_use]
    pub fn load(&self) -> sync::Arc<Vec<Agent>> {
        self.agents.load_full()
    }

    /// Replaces the list of agents.
    pub fn replace(&self, mut agents: Vec<Agent>) {
        agents.sort_by(|a, b| a.node.cmp(&b.node));
        self.agents.store(sync::Arc::new(agents));
    }
}
