//! When a leaving backend server may be stopped.

use std::collections;
use std::time;

use azuregap_core::ids;
use azuregap_wire::control;
use tokio::time::Instant;

/// How long an agent may be silent before its backend server counts as crashed.
const CRASH_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// How far a leaving backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// It still has work or usage, or does not know yet that it leaves.
    Busy,
    /// Nothing is left to cut.
    Idle,
    /// Its agent has been silent for long.
    Crashed,
}

/// Remembers since when agents are silent.
#[derive(Clone, Debug, Default)]
pub struct DrainTracker {
    silent: collections::HashMap<ids::BackendId, Instant>,
}

impl DrainTracker {
    /// Takes the agent's answer to `DrainState`, if there was one. The answer counts only when
    /// the agent has at least `version`, in which it was told to leave: it takes no new work
    /// from then on.
    pub fn update(
        &mut self,
        backend: &str,
        version: ids::Version,
        answer: Option<&control::Message>,
        now: Instant,
    ) -> DrainState {
        let Some(answer) = answer else {
            let since = *self.silent.entry(backend.to_owned()).or_insert(now);
            let crashed = now.duration_since(since) >= CRASH_TIMEOUT;
            return if crashed { DrainState::Crashed } else { DrainState::Busy };
        };
        self.silent.remove(backend);
        match &answer.body {
            control::Body::Draining { load, unflushed } => {
                let empty = load.running == 0 && load.waiting == 0 && *unflushed == 0;
                let knows = answer.version >= version;
                if empty && knows { DrainState::Idle } else { DrainState::Busy }
            }
            _ => DrainState::Busy,
        }
    }
}
