//! The limit of one run of a backend server, and what this gateway has used of it.

use std::time::Duration;

use tokio::time;

use super::change;
use super::named_limit;
use super::place;
use super::statement;
use crate::decision::places;

/// Limit of a run that names one that can't be read, in requests per second.
const UNREADABLE_LIMIT: f64 = 1.0;

/// Lowest limit that is used, in requests per second: without any requests the end of the limit would
/// never be seen.
const MIN_LIMIT: f64 = 0.1;

/// Time over which unused places are saved up; at least one place is.
const SAVED: Duration = Duration::from_secs(1);

/// Rate at which places come up at a pace.
fn rate(pace: f64) -> places::Rate {
    places::Rate { pace, saved: (pace * SAVED.as_secs_f64()).max(1.0) }
}

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
    /// Whether the store has it.
    pub(super) is_saved: bool,
    /// Requests that this gateway may send.
    places: places::Places,
}

impl Run {
    pub(super) fn new(started_ms: u64, heard_at: time::Instant) -> Self {
        Self {
            started_ms,
            limit: None,
            sent_at: heard_at,
            heard_at,
            changed_at: heard_at,
            is_saved: false,
            places: places::Places::new(heard_at),
        }
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
        }?;
        if self.limit.is_none() {
            self.places = places::Places::new(now);
        } else {
            self.places.update(now);
        }
        (self.limit, self.changed_at) = (limit, now);
        Some(change)
    }

    /// Whether a gateway that uses a share of the limit may send a request; `None` as share if it
    /// uses none.
    pub(super) fn place(
        &mut self,
        share: impl FnOnce() -> Option<f64>,
        now: time::Instant,
    ) -> place::Place {
        let Some(limit) = self.limit else { return place::Place::Unlimited };
        let Some(share) = share() else { return place::Place::Elsewhere };
        let pace = limit.max(MIN_LIMIT) * share;
        place::Place::Limited { wait: self.places.wait(rate(pace), now), pace }
    }

    /// Takes a place for one request.
    pub(super) fn take_place(&mut self) {
        self.places.take();
    }
}
