//! Tracks the failures of a backend server and decides whether it gets new requests.
//!
//! There are no active health checks: they add load, and a backend server that fails some of its
//! requests can still report itself healthy. Only the outcomes of real requests count.

use std::time::Duration;

use tokio::time;

/// Weight of the newest outcome.
const SMOOTHING: f64 = 0.15;

/// Time after which the observed failure rate has decayed to half.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// First backoff after a failed connection; doubles with each consecutive failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(300);

/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Cost factor of a backend server that fails every request.
const MAX_COST_FACTOR: f64 = 12.0;

/// Outcome of a request at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It responded.
    Success,
    /// It responded with a server error or a malformed response.
    Failure,
    /// It could not be reached or did not respond.
    Unreachable,
    /// It rejected the request for lack of capacity.
    Overloaded,
}

/// Recent outcomes at one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    observed_at: Option<time::Instant>,
    unreachable_count: u32,
    backoff_until: Option<time::Instant>,
}

impl Health {
    /// Creates a record without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the outcome of a request.
    pub fn observe(&mut self, outcome: Outcome, now: time::Instant) {
        let failure = match outcome {
            Outcome::Success => 0.0,
            Outcome::Failure | Outcome::Unreachable => 1.0,
            Outcome::Overloaded => 0.5,
        };
        let current = self.failure_rate(now);
        self.failure_rate = current + SMOOTHING * (failure - current);
        self.observed_at = Some(now);
        if outcome == Outcome::Unreachable {
            let backoff = FIRST_BACKOFF * 2_u32.pow(self.unreachable_count.min(4));
            self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
            self.unreachable_count += 1;
        } else {
            self.unreachable_count = 0;
            self.backoff_until = None;
        }
    }

    /// Share of requests that fail, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: time::Instant) -> f64 {
        let Some(at) = self.observed_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age)
    }

    /// Factor by which failures raise the cost of this backend server, at least 1.
    #[must_use]
    pub fn cost_factor(&self, now: time::Instant) -> f64 {
        1.0 + (MAX_COST_FACTOR - 1.0) * self.failure_rate(now)
    }

    /// Whether it gets new requests.
    #[must_use]
    pub fn is_available(&self, now: time::Instant) -> bool {
        self.backoff_until.is_none_or(|until| now >= until)
    }
}
