//! The agents this process knows.

use std::sync;

use arc_swap::ArcSwap;
use azuregap_core::ids;

/// An agent that can be sent requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agent {
    /// Its name.
    pub node: ids::NodeId,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Name of the backend server beside it.
    pub backend: ids::BackendId,
    /// The pool it serves.
    pub pool: ids::PoolId,
    /// `host:port` for answers.
    pub runs: String,
    /// `host:port` for control messages.
    pub control: String,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// Shares the list of agents; found in the registry under [`Directory::NAME`].
#[derive(Clone, Debug, Default)]
pub struct Directory {
    agents: sync::Arc<ArcSwap<Vec<Agent>>>,
}

impl Directory {
    /// Name in the registry.
    pub const NAME: &'static str = "directory";

    /// The agents known now, sorted by name.
    #[must_use]
    pub fn load(&self) -> sync::Arc<Vec<Agent>> {
        self.agents.load_full()
    }

    /// Replaces the list.
    pub fn replace(&self, mut agents: Vec<Agent>) {
        agents.sort_by(|a, b| a.node.cmp(&b.node));
        self.agents.store(sync::Arc::new(agents));
    }
}
