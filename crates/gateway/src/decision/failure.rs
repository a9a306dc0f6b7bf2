//! How a request that is given up is answered, and when its caller should come back.

use std::time::Duration;

/// Shortest time to come back. Source: two round trips of a caller.
const LEAST: Duration = Duration::from_millis(50);

/// Longest time to come back; a caller honours up to a third of the time it has left.
const MOST: Duration = Duration::from_secs(5);

/// What is known of the attempts when a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It is certain that no backend server ran it or will.
    NotExecuted,
    /// A backend server may have run it.
    OutcomeUnknown,
    /// The time for it is over, and a backend server may have run it.
    TimedOut,
}

impl Failure {
    /// Status of the final answer; only a request that never ran gets one that promises so.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::NotExecuted => 503,
            Self::OutcomeUnknown => 502,
            Self::TimedOut => 504,
        }
    }
}

/// When a caller should come back if room is expected after `room`; `draw` in 0..1 spreads the
/// callers, so that they don't return together.
#[must_use]
pub fn retry_after(room: Duration, left: Duration, draw: f64) -> Duration {
    let base = room.clamp(LEAST, MOST);
    base.mul_f64(0.75 + draw / 2.0).min(left / 3).max(LEAST)
}
