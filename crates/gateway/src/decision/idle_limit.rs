//! How long a kept connection may rest before the next request is sent on it.
//!
//! Some backend servers, or what lies before them, forget resting connections without a notice. The
//! request that comes next is lost, and if it may run only once it can't be sent again. After one
//! such loss the connections of that service are used only without a rest for a while; losses that
//! follow soon make that while longer. This answers idle timeouts that are shorter than announced.
//!
//! ```
//! use azuregap_gateway::decision::idle_limit;
//! use tokio::time;
//!
//! let start = time::Instant::now();
//! let mut rest = idle_limit::IdleLimit::new();
//! assert_eq!(rest.max_idle(start), time::Duration::MAX);
//! rest.record_loss(time::Duration::from_secs(1), start);
//! assert_eq!(rest.max_idle(start), idle_limit::SAFE_IDLE);
//! ```

use std::time::Duration;

use tokio::time;

/// A connection that rested no longer than this is taken as alive. Source: a round trip between
/// availability zones, several times over.
pub const SAFE_IDLE: Duration = Duration::from_millis(20);

/// How long rested connections are avoided after the first loss.
const FIRST_CAUTION: Duration = Duration::from_secs(10);

/// Longest time for which they are avoided after a loss.
const MOST_CAUTION: Duration = Duration::from_secs(60);

/// What is known of the resting connections to one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleLimit {
    cautious_until: Option<time::Instant>,
    caution: Duration,
}

impl IdleLimit {
    /// Nothing was lost yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A request was lost on a connection that had rested for `rested`.
    ///
    /// Returns whether rested connections are avoided from now on and were not before.
    pub fn record_loss(&mut self, rested: Duration, now: time::Instant) -> bool {
        if rested <= SAFE_IDLE {
            return false;
        }
        let was_cautious = self.is_cautious(now);
        let is_recent = self.cautious_until.is_some_and(|until| now < until + self.caution);
        if !was_cautious {
            let next = if is_recent { self.caution * 2 } else { FIRST_CAUTION };
            self.caution = next.min(MOST_CAUTION);
        }
        self.cautious_until = Some(now + self.caution);
        !was_cautious
    }

    /// Longest rest after which a connection is used again.
    #[must_use]
    pub fn max_idle(&self, now: time::Instant) -> Duration {
        if self.is_cautious(now) { SAFE_IDLE } else { Duration::MAX }
    }

    fn is_cautious(&self, now: time::Instant) -> bool {
        self.cautious_until.is_some_and(|until| now < until)
    }
}
