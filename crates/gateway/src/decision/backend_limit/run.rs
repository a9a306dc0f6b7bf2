//! The limit of one run of a backend server.

use tokio::time;

use super::change;
use super::named_limit;
use super::statement;

/// Limit of a run that names one that can't be read, in requests per second.
const UNREADABLE_LIMIT: f64 = 1.0;

/// The limit of one run of a backend server, as its newest response states it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    /// When the run started, in milliseconds since 1970.
    pub(super) started_ms: u64,
    /// Requests per second; `None` after the run has ceased to name a limit.
    pub(super) limit: Option<f64>,
    /// When the request of the newest response was sent.
    pub(super) sent_at: time::Instant,
    /// When the newest response came.
    pub(super) heard_at: time::Instant,
    pub(super) changed_at: time::Instant,
}

impl Run {
    pub(super) fn new(started_ms: u64, heard_at: time::Instant) -> Self {
        Self { started_ms, limit: None, sent_at: heard_at, heard_at, changed_at: heard_at }
    }

    /// Takes over a statement of the run. Of two whose order isn't known, since their requests were
    /// in progress at the same time, the stricter one counts.
    pub(super) fn record(
        &mut self,
        statement: &statement::Statement,
        now: time::Instant,
    ) -> Option<change::Change> {
        let limit = match statement.limit {
            named_limit::NamedLimit::None => None,
            named_limit::NamedLimit::PerSecond(limit) => Some(limit),
            named_limit::NamedLimit::Unreadable => Some(self.limit.unwrap_or(UNREADABLE_LIMIT)),
        };
        let is_newer = statement.sent_at >= self.heard_at;
        let is_older = statement.heard_at <= self.sent_at;
        let is_stricter = limit.unwrap_or(f64::INFINITY) < self.limit.unwrap_or(f64::INFINITY);
        if !is_newer && (is_older || !is_stricter) {
            return None;
        }
        (self.sent_at, self.heard_at) = (statement.sent_at, statement.heard_at);
        let change = match (self.limit, limit) {
            (None, Some(limit)) => Some(change::Change::Named(limit)),
            (Some(old), Some(limit)) if old != limit => Some(change::Change::Changed(limit)),
            (Some(_), None) => Some(change::Change::Ended),
            _ => None,
        };
        if change.is_some() {
            (self.limit, self.changed_at) = (limit, now);
        }
        change
    }
}
