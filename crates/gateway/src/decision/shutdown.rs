//! Decides which requests a gateway that is shutting down still admits, and for which answers it waits.
//!
//! Callers keep coming while no other gateway of the zone is ready, so a request is admitted as long
//! as it is likely to end before the process does. A request that isn't is rejected before it is
//! sent, so that the caller knows that it has not run. This answers rolling restarts, and the stop of
//! most gateways of a zone at once.
//!
//! The process waits for an answer until its client has taken it, at most for the grace period, as long
//! as the client goes on reading. This answers clients on slow links, and long answers.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::decision::shutdown;
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let shutdown = shutdown::Shutdown::new(now, Duration::from_secs(8));
//! let late = now + Duration::from_secs(6);
//! let longest = Duration::from_secs(5);
//! assert!(shutdown.admits(false, Some(Duration::from_millis(300)), longest, late));
//! assert!(!shutdown.admits(false, Some(Duration::from_secs(2)), longest, late));
//! ```

use std::time::Duration;

use tokio::time;

/// Time after a stop request during which new clients still connect, until the load balancer has
/// seen two failed readiness checks. Checks are 1 s apart; the rest is time for the responses.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Part of the grace period that is kept for the process to write its last responses and to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Time for which a client may take nothing of its answer before the process waits for it no longer.
const MAX_STALL: Duration = Duration::from_secs(2);

/// The last phase of a process, from the stop request on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    requested_at: time::Instant,
    ends_at: time::Instant,
}

impl Shutdown {
    /// Starts a shutdown; the process is killed after the grace period.
    #[must_use]
    pub fn new(now: time::Instant, grace_period: Duration) -> Self {
        Self { requested_at: now, ends_at: now + grace_period.saturating_sub(EXIT_MARGIN) }
    }

    /// Whether a request is admitted. `likely` is how long those of its service take, if that is known,
    /// and `longest` the time until its deadline.
    ///
    /// As long as callers can't know that the process stops, a request is rejected only if it is likely
    /// to outlive it. Later, one is admitted only if it is likely to end in time, and no stream is: how
    /// long they take varies too much.
    #[must_use]
    pub fn admits(
        &self,
        is_stream: bool,
        likely: Option<Duration>,
        longest: Duration,
        now: time::Instant,
    ) -> bool {
        let duration = likely.map_or(longest, |likely| likely.min(longest));
        let ends_in_time = now + duration < self.ends_at;
        if self.may_exit(now) {
            !is_stream && ends_in_time
        } else {
            is_stream || likely.is_none() || ends_in_time
        }
    }

    /// Whether the load balancer has had the time to notice, so that the process may exit as soon as
    /// it serves no request.
    #[must_use]
    pub fn may_exit(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.requested_at) > BALANCER_LAG || self.has_ended(now)
    }

    /// Whether the process waits for a client that has taken nothing of its answer for `stalled`.
    #[must_use]
    pub fn awaits(&self, stalled: Duration, now: time::Instant) -> bool {
        stalled < MAX_STALL && !self.has_ended(now)
    }

    /// Whether requests that still run get their final response now.
    #[must_use]
    pub fn has_ended(&self, now: time::Instant) -> bool {
        now >= self.ends_at
    }
}
