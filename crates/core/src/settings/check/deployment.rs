//! Cross-document validation of a deployment.

use std::time;

use super::super::AgentSettings;
use super::super::EntrySettings;
use crate::findings;
use crate::ids;
use crate::intent;

/// Heartbeats that may be missed before an entry considers a response stream idle.
const MISSED_HEARTBEATS: u32 = 2;

/// The documents of a deployment, each with the name under which faults are reported.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// Settings of entries.
    pub entries: Vec<(String, EntrySettings)>,
    /// Settings of agents.
    pub agents: Vec<(String, AgentSettings)>,
    /// The intent declared by operators.
    pub intent: Option<(String, intent::Intent)>,
}

impl Deployment {
    /// Returns every contradiction between the documents, but not the faults within a document.
    ///
    /// The path of each fault starts with the name of the document.
    #[must_use]
    pub fn check(&self) -> Vec<intent::Fault> {
        let mut findings = findings::Findings::default();
        self.check_nodes(&mut findings);
        self.check_windows(&mut findings);
        self.check_heartbeats(&mut findings);
        self.check_references(&mut findings);
        findings.into_faults()
    }

    fn check_nodes(&self, findings: &mut findings::Findings) {
        let entries = self.entries.iter().map(|(name, entry)| (name, &entry.node));
        let agents = self.agents.iter().map(|(name, agent)| (name, &agent.node));
        let nodes: Vec<_> = entries.chain(agents).collect();
        let path = |i: usize| format!("{}:node", nodes[i].0);
        findings.require_unique(nodes.iter().map(|(_, node)| node), path);
        let path = |i: usize| format!("{}:backend", self.agents[i].0);
        findings.require_unique(self.agents.iter().map(|(_, agent)| &agent.backend), path);
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
            findings.require_consistent(other == window, format_args!("{name}:window_s"), expected);
        }
    }

    /// Requires that the idle time limit of every entry is at least twice the longest heartbeat
    /// interval, so that a response stream that still sends heartbeats is not considered idle.
    fn check_heartbeats(&self, findings: &mut findings::Findings) {
        let slowest = self.agents.iter().max_by_key(|(_, agent)| agent.heartbeat);
        let Some((agent, settings)) = slowest else {
            return;
        };
        let minimum: time::Duration = settings.heartbeat * MISSED_HEARTBEATS;
        for (entry, settings) in &self.entries {
            let path = format!("{entry}:silence_ms");
            let expected =
                format!("at least {}: twice heartbeat_ms of {agent}", minimum.as_millis());
            findings.require_consistent(settings.silence >= minimum, path, expected);
        }
    }

    fn check_references(&self, findings: &mut findings::Findings) {
        let Some((_, intent)) = &self.intent else {
            return;
        };
        let declared = |zone: &ids::ZoneId| intent.zones.iter().any(|other| other.name == *zone);
        for (name, entry) in &self.entries {
            findings.require_declared(declared(&entry.zone), format_args!("{name}:zone"), "zone");
        }
        for (name, agent) in &self.agents {
            findings.require_declared(declared(&agent.zone), format_args!("{name}:zone"), "zone");
            let pool = intent.pool(&agent.pool);
            findings.require_declared(pool.is_some(), format_args!("{name}:pool"), "pool");
            if let Some(pool) = pool {
                check_pool(name, agent, pool, findings);
            }
        }
    }
}

/// Requires that the settings of an agent match the declaration of its pool.
fn check_pool(
    name: &str,
    agent: &AgentSettings,
    pool: &intent::Pool,
    findings: &mut findings::Findings,
) {
    let expected = format!("{}, as the pool declares", pool.slots);
    findings.require_consistent(pool.slots == agent.slots, format_args!("{name}:slots"), expected);
    let model = pool.kind == intent::PoolKind::Model;
    let expected = format!("{model}, as the kind of the pool declares");
    findings.require_consistent(model == agent.model, format_args!("{name}:model"), expected);
}
