//! Limits how long a pooled connection may be idle before it is reused.
//!
//! Some backend servers, or devices in front of them, drop idle connections silently. The next
//! request on such a connection is lost, and if it isn't idempotent it can't be retried. After one
//! such loss, connections of that service that were idle are not reused for a while; further losses
//! soon afterwards lengthen that period. This handles idle timeouts that are shorter than
//! announced.
//!
//! ```
//! use azuregap_gateway::decision::idle_limit;
//! use tokio::time;
//!
//! let start = time::Instant::now();
//! let mut limit = idle_limit::IdleLimit::new();
//! assert_eq!(limit.max_idle(start), time::Duration::MAX);
//! limit.record_loss(time::Duration::from_secs(1), start);
//! assert_eq!(limit.max_idle(start), idle_limit::SAFE_IDLE);
//! ```

use std::time::Duration;

use tokio::time;

/// A connection that was idle for no longer than this is assumed to be alive: several round trips
/// between availability zones.
pub const SAFE_IDLE: Duration = Duration::from_millis(20);

/// How long idle connections are avoided after the first loss.
const FIRST_AVOIDANCE: Duration = Duration::from_secs(10);

/// Maximum time for which they are avoided after a loss.
const MAX_AVOIDANCE: Duration = Duration::from_secs(60);

/// Recent losses on idle connections to one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleLimit {
    avoid_until: Option<time::Instant>,
    avoidance: Duration,
}

impl IdleLimit {
    /// Creates a limit without recorded losses.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was lost on a connection that had been idle for `idle`.
    ///
    /// Returns whether this starts a period in which idle connections are avoided.
    pub fn record_loss(&mut self, idle: Duration, now: time::Instant) -> bool {
        if idle <= SAFE_IDLE {
            return false;
        }
        let was_avoiding = self.is_avoiding(now);
        let is_recent = self.avoid_until.is_some_and(|until| now < until + self.avoidance);
        if !was_avoiding {
            let next = if is_recent { self.avoidance * 2 } else { FIRST_AVOIDANCE };
            self.avoidance = next.min(MAX_AVOIDANCE);
        }
        self.avoid_until = Some(now + self.avoidance);
        !was_avoiding
    }

    /// Maximum idle time after which a connection is reused.
    #[must_use]
    pub fn max_idle(&self, now: time::Instant) -> Duration {
        if self.is_avoiding(now) { SAFE_IDLE } else { Duration::MAX }
    }

    fn is_avoiding(&self, now: time::Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }
}
