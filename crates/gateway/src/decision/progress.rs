//! How far a client is behind with what it sends or reads.
//!
//! It answers crowds of clients that send or read a byte now and then: each of them makes progress, and
//! holds a connection and memory for as long as it likes. A client owes bytes at a floor that slow links
//! keep, for as long as the process waits for it. Near a limit the one that is furthest behind gives way;
//! nobody is closed for being behind while there is room.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::decision::progress;
//! use tokio::time;
//!
//! let start = time::Instant::now();
//! let second = |second| start + Duration::from_secs(second);
//! let mut progress = progress::Progress::default();
//! progress.start(start);
//! progress.advance(10 * progress::FLOOR, second(3));
//! assert_eq!(progress.lag(second(3)), Duration::ZERO);
//! progress.advance(1, second(5));
//! assert!(progress.lag(second(5)) > Duration::from_millis(1_990));
//! ```

use std::time::Duration;

use tokio::time;

/// Bytes a second that a client owes. One time slot of GPRS with its most robust coding carries 9.05
/// kbit/s, 1,131 bytes a second.
pub const FLOOR: usize = 1_024;

/// A client that is so far behind gives way to others.
pub const MIN_LAG: Duration = Duration::from_secs(1);

/// How far a client is behind the floor. What it sends faster doesn't count in advance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    lag: Duration,
    /// Since when the process waits for the client, as far as it isn't part of the lag.
    waiting_since: Option<time::Instant>,
}

impl Progress {
    /// Records that the process waits for the client.
    pub fn start(&mut self, now: time::Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that the process doesn't wait for the client any more.
    pub fn stop(&mut self, now: time::Instant) {
        self.lag = self.lag(now);
        self.waiting_since = None;
    }

    /// Records that the client has sent or taken bytes.
    pub fn advance(&mut self, bytes: usize, now: time::Instant) {
        let paid = Duration::from_secs_f64(bytes as f64 / FLOOR as f64);
        self.lag = self.lag(now).saturating_sub(paid);
        self.waiting_since = self.waiting_since.map(|_| now);
    }

    /// How long the client would need at the floor to be up to date.
    #[must_use]
    pub fn lag(&self, now: time::Instant) -> Duration {
        let waiting = self.waiting_since.map(|since| now.saturating_duration_since(since));
        self.lag + waiting.unwrap_or_default()
    }
}
