//! The agent that is to run a request.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// One incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// Name of the agent.
    pub agent: ids::NodeId,
    /// Its incarnation; another one must refuse the dispatch.
    pub incarnation: ids::Incarnation,
}

impl Target {
    /// An incarnation of an agent.
    #[must_use]
    pub fn new(agent: impl Into<ids::NodeId>, incarnation: ids::Incarnation) -> Self {
        Self { agent: agent.into(), incarnation }
    }
}
