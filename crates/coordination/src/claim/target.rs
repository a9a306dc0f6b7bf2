//! The agent to which a request is dispatched.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// One incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// Name of the agent.
    pub agent: ids::NodeId,
    /// Incarnation of the agent; other incarnations must reject the dispatch.
    pub incarnation: ids::Incarnation,
}

impl Target {
    /// Creates a target.
    #[must_use]
    pub fn new(agent: impl Into<ids::NodeId>, incarnation: ids::Incarnation) -> Self {
        Self { agent: agent.into(), incarnation }
    }
}
