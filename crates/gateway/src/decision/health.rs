//! How a backend server's answers have been, and whether it gets new requests.
//!
//! Health checks are not asked: they cost, and a backend server that fails part of its requests
//! can call itself healthy. Failures of the requests themselves count.

use std::time::Duration;

use tokio::time;

/// Weight of the newest outcome.
const SMOOTHING: f64 = 0.15;

/// Time after which half of what was observed is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// First pause after a connection failed; doubles with each one.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause.
const MOST_PAUSE: Duration = Duration::from_secs(3);

/// Slowness of a backend server whose every request fails.
const FAILING: f64 = 12.0;

/// How a request at a backend server went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered.
    Success,
    /// It answered with an error of its own, or a broken answer.
    Failure,
    /// It could not be reached, or stayed silent.
    Unreachable,
    /// It refused the request for want of room.
    Overloaded,
}

/// Recent outcomes at one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    faults: f64,
    observed: Option<time::Instant>,
    misses: u32,
    paused_until: Option<time::Instant>,
}

impl Health {
    /// Nothing observed yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the outcome of a request.
    pub fn observe(&mut self, outcome: Outcome, now: time::Instant) {
        let seen = match outcome {
            Outcome::Success => 0.0,
            Outcome::Failure | Outcome::Unreachable => 1.0,
            Outcome::Overloaded => 0.5,
        };
        let known = self.failure_rate(now);
        self.faults = known + SMOOTHING * (seen - known);
        self.observed = Some(now);
        if outcome == Outcome::Unreachable {
            let pause = FIRST_PAUSE * 2_u32.pow(self.misses.min(4));
            self.paused_until = Some(now + pause.min(MOST_PAUSE));
            self.misses += 1;
        } else {
            self.misses = 0;
            self.paused_until = None;
        }
    }

    /// Share of requests that fail, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: time::Instant) -> f64 {
        let Some(at) = self.observed else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.faults * 0.5_f64.powf(age)
    }

    /// How many times dearer than a sound peer it counts, at least 1.
    #[must_use]
    pub fn cost_factor(&self, now: time::Instant) -> f64 {
        1.0 + (FAILING - 1.0) * self.failure_rate(now)
    }

    /// Whether it gets new requests.
    #[must_use]
    pub fn is_available(&self, now: time::Instant) -> bool {
        self.paused_until.is_none_or(|until| now >= until)
    }
}
