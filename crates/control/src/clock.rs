//! Time since the Unix epoch on the runtime's clock.

use std::time;

use tokio::time::Instant;

/// Tells the time since the Unix epoch; it is read from the system once and then follows the
/// runtime's clock, which tests can pause and advance.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    start: Instant,
    epoch: time::Duration,
}

impl WallClock {
    /// A clock that showed `epoch` at `start`.
    #[must_use]
    pub const fn new(start: Instant, epoch: time::Duration) -> Self {
        Self { start, epoch }
    }

    /// A clock that shows the system's time.
    #[must_use]
    pub fn system() -> Self {
        let epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        Self::new(Instant::now(), epoch)
    }

    /// Time since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> time::Duration {
        self.epoch + Instant::now().saturating_duration_since(self.start)
    }

    /// Whole seconds since the Unix epoch.
    #[must_use]
    pub fn seconds(&self) -> u64 {
        self.now().as_secs()
    }
}
