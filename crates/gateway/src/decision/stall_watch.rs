//! Tells whether this process stood still, so that times that it took say nothing of others.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::decision::stall_watch;
//! use tokio::time;
//!
//! let start = time::Instant::now();
//! let mut watch = stall_watch::StallWatch::default();
//! watch.tick(start, Duration::from_millis(200));
//! let frozen = start + Duration::from_secs(5);
//! assert!(!watch.was_running(start, frozen));
//! watch.tick(frozen, Duration::from_millis(200));
//! assert!(!watch.was_running(start, frozen));
//! assert!(watch.was_running(frozen, frozen + Duration::from_millis(50)));
//! ```

use std::time::Duration;

use tokio::time;

/// Delay of a tick beyond which the process stood still; shorter ones are those of a busy VM.
const MAX_DELAY: Duration = Duration::from_millis(150);

/// When this process last ran, and when it last came back from standing still.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallWatch {
    /// When the next tick is due.
    due: Option<time::Instant>,
    resumed_at: Option<time::Instant>,
}

impl StallWatch {
    /// Records that the process runs at `now`, and that it will tick again after `interval`.
    pub fn tick(&mut self, now: time::Instant, interval: Duration) {
        if self.is_late(now) {
            self.resumed_at = Some(now);
        }
        self.due = Some(now + interval);
    }

    /// Whether the process has run without standing still from `since` to `now`.
    #[must_use]
    pub fn was_running(&self, since: time::Instant, now: time::Instant) -> bool {
        !self.is_late(now) && self.resumed_at.is_none_or(|at| at <= since)
    }

    fn is_late(&self, now: time::Instant) -> bool {
        self.due.is_some_and(|due| now > due + MAX_DELAY)
    }
}
