//! Decides when a leaving backend server may be stopped.

use std::collections;
use std::time;

use azuregap_core::ids;
use azuregap_wire::control;
use tokio::time::Instant;

/// How long an agent may not respond before its backend server counts as crashed.
const CRASH_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Drain state of a leaving backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// It has requests or unflushed usage records, or doesn't have the configuration in which it
    /// leaves yet.
    Busy,
    /// A stop interrupts nothing.
    Idle,
    /// Its agent has not responded for `CRASH_TIMEOUT`.
    Crashed,
}

/// Tracks since when agents have not responded.
#[derive(Clone, Debug, Default)]
pub struct DrainTracker {
    silent: collections::HashMap<ids::BackendId, Instant>,
}

impl DrainTracker {
    /// Evaluates the agent's response to `DrainState`, if there was one. The backend server is
    /// idle only if the agent has at least `version`, in which the backend server is marked as
    /// leaving: it accepts no new work from then on.
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
