//! Checks of documents that belong to one deployment against each other.

use std::time;

use super::super::AgentSettings;
use super::super::EntrySettings;
use crate::findings;
use crate::ids;
use crate::intent;

/// Heartbeats that may be lost before an entry takes an answer for silent.
const HEARTBEATS: u32 = 2;

/// The documents of one deployment, each under the name it is reported by.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// Settings of entries.
    pub entries: Vec<(String, EntrySettings)>,
    /// Settings of agents.
    pub agents: Vec<(String, AgentSettings)>,
    /// What operators declare.
    pub intent: Option<(String, intent::Intent)>,
}

impl Deployment {
    /// Every contradiction between the documents; the faults within each are not told again.
    ///
    /// The path of a fault starts with the name of the document.
    #[must_use]
    pub fn check(&self) -> Vec<intent::Fault> {
        let mut findings = findings::Findings::default();
        self.check_nodes(&mut findings);
        self.check_windows(&mut findings);
        self.check_heartbeats(&mut findings);
        self.check_declared(&mut findings);
        findings.into_faults()
    }

    fn check_nodes(&self, findings: &mut findings::Findings) {
        let entries = self.entries.iter().map(|(name, entry)| (name, &entry.node));
        let agents = self.agents.iter().map(|(name, agent)| (name, &agent.node));
        let nodes: Vec<_> = entries.chain(agents).collect();
        let path = |i: usize| format!("{}:node", nodes[i].0);
        findings.unique(nodes.iter().map(|(_, node)| node), path);
        let path = |i: usize| format!("{}:backend", self.agents[i].0);
        findings.unique(self.agents.iter().map(|(_, agent)| &agent.backend), path);
    }

    fn check_windows(&self, findings: &mut findings::Findings) {
        let entries = self.entries.iter().map(|(name, entry)| (name, entry.window));
        let agents = self.agents.iter().map(|(name, agent)| (name, agent.window));
        let mut windows = entries.chain(agents);
        let Some((first, window)) = windows.next() else {
            return;
        };
        for (name, other) in windows {
            let expected = format!("{}, as in {first}", window.as_secs());
            findings.agree(other == window, format_args!("{name}:window_s"), expected);
        }
    }

    /// An answer must not seem silent while its heartbeats come.
    fn check_heartbeats(&self, findings: &mut findings::Findings) {
        let slowest = self.agents.iter().max_by_key(|(_, agent)| agent.heartbeat);
        let Some((agent, settings)) = slowest else {
            return;
        };
        let least: time::Duration = settings.heartbeat * HEARTBEATS;
        for (entry, settings) in &self.entries {
            let path = format!("{entry}:silence_ms");
            let expected = format!("at least {}: twice heartbeat_ms of {agent}", least.as_millis());
            findings.agree(settings.silence >= least, path, expected);
        }
    }

    fn check_declared(&self, findings: &mut findings::Findings) {
        let Some((_, intent)) = &self.intent else {
            return;
        };
        let zone = |zone: &ids::ZoneId| intent.zones.iter().any(|other| other.name == *zone);
        for (name, entry) in &self.entries {
            findings.known(zone(&entry.zone), format_args!("{name}:zone"), "zone");
        }
        for (name, agent) in &self.agents {
            findings.known(zone(&agent.zone), format_args!("{name}:zone"), "zone");
            let pool = intent.pool(&agent.pool);
            findings.known(pool.is_some(), format_args!("{name}:pool"), "pool");
            if let Some(pool) = pool {
                check_pool(name, agent, pool, findings);
            }
        }
    }
}

/// An agent and the pool it serves tell the same of the backend server.
fn check_pool(
    name: &str,
    agent: &AgentSettings,
    pool: &intent::Pool,
    findings: &mut findings::Findings,
) {
    let expected = format!("{}, as the pool declares", pool.slots);
    findings.agree(pool.slots == agent.slots, format_args!("{name}:slots"), expected);
    let model = pool.kind == intent::PoolKind::Model;
    let expected = format!("{model}, as the kind of the pool declares");
    findings.agree(model == agent.model, format_args!("{name}:model"), expected);
}
