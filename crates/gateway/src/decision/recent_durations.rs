//! How long the requests of a service have taken lately.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::decision::recent_durations;
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let mut durations = recent_durations::RecentDurations::default();
//! assert_eq!(durations.likely(now), None);
//! durations.observe(Duration::from_millis(300), now);
//! assert_eq!(durations.likely(now), Some(Duration::from_millis(300)));
//! ```

use std::collections;
use std::time::Duration;

use tokio::time;

/// Number of requests that are remembered.
const MAX_COUNT: usize = 256;

/// Time for which a request is remembered.
const MAX_AGE: Duration = Duration::from_secs(60);

/// One in so many requests takes longer than the likely duration.
const EXCEEDED_BY_ONE_IN: usize = 100;

/// Durations of the newest requests of a service.
#[derive(Clone, Debug, Default)]
pub struct RecentDurations {
    /// When a request ended, and how long it took.
    ended: collections::VecDeque<(time::Instant, Duration)>,
}

impl RecentDurations {
    /// Records a request that ended at `now`.
    pub fn observe(&mut self, duration: Duration, now: time::Instant) {
        if self.ended.len() == MAX_COUNT {
            self.ended.pop_front();
        }
        self.ended.push_back((now, duration));
    }

    /// The duration that one in a hundred of the newest requests exceeds; `None` if there was none
    /// in the last minute.
    #[must_use]
    pub fn likely(&self, now: time::Instant) -> Option<Duration> {
        let is_recent = |at: time::Instant| now.saturating_duration_since(at) < MAX_AGE;
        let recent = self.ended.iter().filter(|(at, _)| is_recent(*at));
        let mut durations: Vec<_> = recent.map(|(_, duration)| *duration).collect();
        durations.sort_unstable();
        let exceeding = durations.len() / EXCEEDED_BY_ONE_IN;
        durations.iter().rev().nth(exceeding).copied()
    }
}
