//! Responses to requests that the gateway gives up on: their status and when the caller may retry.

use std::time::Duration;

/// Minimum retry delay: two round trips of a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum retry delay; callers wait at most a third of the time that they have left.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Width of the range of retry delays, as a share of the expected delay.
const JITTER: f64 = 0.5;

/// What is known about the execution of a request when the gateway gives up on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No backend server executed the request, and none will.
    NotExecuted,
    /// No backend server executed the request, and none will: its prompt crashes them.
    Quarantined,
    /// A backend server may have executed the request.
    OutcomeUnknown,
    /// The deadline has passed, and a backend server may have executed the request.
    TimedOut,
}

impl Failure {
    /// HTTP status of the response; 503 guarantees that the request was not executed.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::NotExecuted | Self::Quarantined => 503,
            Self::OutcomeUnknown => 502,
            Self::TimedOut => 504,
        }
    }
}

/// Delay after which a caller may retry, if a backend server is expected to have capacity after
/// `capacity_in` and the caller has `left` until its deadline. `draw` is a random number in 0..1
/// that adds jitter, so that callers don't retry at the same time.
#[must_use]
pub fn retry_after(capacity_in: Duration, left: Duration, draw: f64) -> Duration {
    let base = capacity_in.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    base.mul_f64(1.0 + JITTER * (draw - 0.5)).min(left / 3).max(MIN_RETRY_AFTER)
}

/// Expected delay for [`retry_after`] with which no caller returns before capacity is available
/// after `capacity_in`; they return spread out after it. `None` means never: callers then return as
/// late as they can be told.
#[must_use]
pub fn not_before(capacity_in: Option<Duration>) -> Duration {
    let capacity_in = capacity_in.map_or(MAX_RETRY_AFTER, |wait| wait.min(MAX_RETRY_AFTER));
    capacity_in.div_f64(1.0 - JITTER / 2.0)
}
