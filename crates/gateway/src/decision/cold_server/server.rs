//! What is known of the cold start of one backend server, and what this gateway has sent it since.

use std::time::Duration;

use tokio::time;

use super::cause;
use crate::decision::places;

/// What is known of the cold start of one backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Server {
    pub(super) started_ms: u64,
    /// Newest time at which it may have turned cold, for the time that its service takes to warm up.
    pub(super) since: Option<time::Instant>,
    /// End of the cold start that its entry states.
    pub(super) stated_until: Option<time::Instant>,
    /// Until when it may have restarted without its entry showing it.
    pub(super) doubted_until: Option<time::Instant>,
    pub(super) cause: cause::Cause,
    /// Whether it was cold when it was last looked at for the log.
    pub(super) is_noted: bool,
    pub(super) places: places::Places,
}

impl Server {
    pub(super) const fn new(started_ms: u64, now: time::Instant) -> Self {
        Self {
            started_ms,
            since: None,
            stated_until: None,
            doubted_until: None,
            cause: cause::Cause::NewRun,
            is_noted: false,
            places: places::Places::new(now),
        }
    }

    /// How long the server stays cold, if its service takes `warm_up`; `None` if it is warm.
    pub(super) fn cold_left(&self, warm_up: Duration, now: time::Instant) -> Option<Duration> {
        let until = self.since.and_then(|since| since.checked_add(warm_up));
        let until = until.max(self.stated_until).max(self.doubted_until)?;
        until.checked_duration_since(now).filter(|left| !left.is_zero())
    }
}
