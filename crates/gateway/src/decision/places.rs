//! Places for requests, which come up at a pace and of which some are saved up.
//!
//! ```
//! use azuregap_gateway::decision::places;
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let rate = places::Rate { pace: 2.0, saved: 1.0 };
//! let mut places = places::Places::new(now);
//! assert_eq!(places.wait(rate, now), time::Duration::from_millis(500));
//! assert!(places.wait(rate, now + time::Duration::from_secs(5)).is_zero());
//! places.take();
//! assert!(!places.wait(rate, now + time::Duration::from_secs(5)).is_zero());
//! ```

use std::time::Duration;

use tokio::time;

/// How fast places come up, and how many are saved up at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Places per second; positive.
    pub pace: f64,
    /// Places that are saved up, at least one.
    pub saved: f64,
}

/// Places of one gateway at one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    free: f64,
    /// Rate at which they come up; `None` until they are first asked for.
    rate: Option<Rate>,
    counted_at: time::Instant,
}

impl Places {
    /// No places; the first one comes up after `now`.
    #[must_use]
    pub const fn new(now: time::Instant) -> Self {
        Self { free: 0.0, rate: None, counted_at: now }
    }

    /// Adds the places that have come up.
    pub fn update(&mut self, now: time::Instant) {
        if let Some(rate) = self.rate {
            self.count(rate, now);
        }
        self.counted_at = now;
    }

    /// Time until there is a place, which come up at `rate` from now on.
    pub fn wait(&mut self, rate: Rate, now: time::Instant) -> Duration {
        self.count(self.rate.unwrap_or(rate), now);
        self.free = self.free.min(rate.saved);
        self.rate = Some(rate);
        let wait = (1.0 - self.free).max(0.0) / rate.pace;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    /// Takes a place for one request.
    pub fn take(&mut self) {
        self.free -= 1.0;
    }

    fn count(&mut self, rate: Rate, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.counted_at).as_secs_f64();
        self.free = (self.free + rate.pace * elapsed).min(rate.saved);
        self.counted_at = now;
    }
}
