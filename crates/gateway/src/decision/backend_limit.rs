//! Limits that backend servers name: how many requests they take from all gateways together.
//!
//! A backend server in need names in its responses how many requests a second it takes, for as long
//! as it says so. A limit belongs to one run of the server. It changes with each response that names
//! another one and ends with a response that names none. Responses overtake each other: one whose
//! request was sent before the newest statement came neither raises nor ends the limit.
//!
//! ```
//! use azuregap_gateway::decision::backend_limit;
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let mut limits = backend_limit::BackendLimits::default();
//! let limit = backend_limit::NamedLimit::from_rate(1.8);
//! let statement = backend_limit::Statement { limit, sent_at: now, heard_at: now };
//! let change = limits.record(7, 1, &statement, now);
//! assert_eq!(change, Some(backend_limit::Change::Named(1.8)));
//! assert_eq!(limits.limit(7, 1), Some(1.8));
//! ```

mod change;
mod named_limit;
mod run;
mod statement;

use std::collections;

use tokio::time;

pub use change::Change;
pub use named_limit::NamedLimit;
pub use statement::Statement;

/// Maximum number of backend servers whose limits are remembered.
const MAX_RUNS: usize = 16_384;

/// Limits of the newest known runs of backend servers, by the hash of the server's id.
#[derive(Debug, Default)]
pub struct BackendLimits {
    runs: collections::HashMap<u32, run::Run>,
}

impl BackendLimits {
    /// Records what a run of a backend server, which started at `started_ms`, said about its limit.
    pub fn record(
        &mut self,
        backend: u32,
        started_ms: u64,
        statement: &Statement,
        now: time::Instant,
    ) -> Option<Change> {
        let known = self.runs.get(&backend).map(|run| run.started_ms);
        let is_new = known.is_none_or(|known| known < started_ms);
        let names_none = statement.limit == NamedLimit::None;
        if known.is_some_and(|known| known > started_ms) || (known.is_none() && names_none) {
            return None;
        }
        if is_new {
            self.make_room(backend);
            self.runs.insert(backend, run::Run::new(started_ms, statement.sent_at));
        }
        self.runs.get_mut(&backend)?.record(statement, now)
    }

    /// Requests per second that a run of a backend server takes; `None` if it names no limit.
    #[must_use]
    pub fn limit(&self, backend: u32, started_ms: u64) -> Option<f64> {
        self.runs.get(&backend).filter(|run| run.started_ms == started_ms)?.limit
    }

    /// Number of backend servers that name a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        self.runs.values().filter(|run| run.limit.is_some()).count()
    }

    /// Forgets a run whose limit has ended, or else the one that has changed last long ago.
    fn make_room(&mut self, backend: u32) {
        if self.runs.len() < MAX_RUNS || self.runs.contains_key(&backend) {
            return;
        }
        let order = |(_, run): &(&u32, &run::Run)| (run.limit.is_some(), run.changed_at);
        if let Some(oldest) = self.runs.iter().min_by_key(order).map(|(backend, _)| *backend) {
            self.runs.remove(&oldest);
        }
    }
}
