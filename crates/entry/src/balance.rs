//! Chooses the agent for a job and remembers what agents told of their load.

use std::collections;
use std::sync;

use azuregap_control::directory;
use azuregap_core::ids;
use azuregap_wire::frame;
use rand::seq::IteratorRandom as _;

use crate::job;

/// Agents compared for one choice.
const CHOICES: usize = 2;

/// What this entry knows of the load of one agent.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    told: frame::Load,
    own: u32,
}

/// Chooses agents; shared by the workers of an entry.
#[derive(Clone, Debug, Default)]
pub struct Balance {
    known: sync::Arc<sync::Mutex<collections::HashMap<ids::NodeId, Known>>>,
}

impl Balance {
    /// Chooses an agent for `job` among `agents`, leaving out those in `tried`.
    #[must_use]
    pub fn choose(
        &self,
        job: &job::Job,
        agents: &[directory::Agent],
        tried: &[ids::NodeId],
    ) -> Option<directory::Agent> {
        let known = self.lock();
        let load = |agent: &directory::Agent| {
            let known = known.get(&agent.node).copied().unwrap_or_default();
            known.own + known.told.waiting + known.told.running
        };
        agents
            .iter()
            .filter(|agent| agent.pool == job.route.pool && !agent.leaving)
            .filter(|agent| !tried.contains(&agent.node))
            .sample(&mut rand::rng(), CHOICES)
            .into_iter()
            .min_by_key(|agent| load(agent))
            .cloned()
    }

    /// Notes that a request was sent to `node`.
    pub fn begin(&self, node: &ids::NodeId) {
        self.lock().entry(node.clone()).or_default().own += 1;
    }

    /// Notes that a request sent to `node` ended.
    pub fn end(&self, node: &ids::NodeId) {
        if let Some(known) = self.lock().get_mut(node) {
            known.own = known.own.saturating_sub(1);
        }
    }

    /// Notes what `node` told of its load.
    pub fn told(&self, node: &ids::NodeId, load: frame::Load) {
        self.lock().entry(node.clone()).or_default().told = load;
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<ids::NodeId, Known>> {
        self.known.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
