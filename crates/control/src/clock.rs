//! Wall-clock time derived from the runtime's clock.

use std::time;

use tokio::time::Instant;

/// Measures the time since the Unix epoch. The system time is read once; after that the clock
/// follows the runtime's clock, which tests can pause and advance.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    start: Instant,
    epoch: time::Duration,
}

impl WallClock {
    /// Returns a clock that reads `epoch` at `start`.
    #[must_use]
    pub const fn new(start: Instant, epoch: time::Duration) -> Self {
        Self { start, epoch }
    }

    /// Returns a clock that is set from the system time.
    #[must_use]
    pub fn system() -> Self {
        let epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        Self::new(Instant::now(), epoch)
    }

    /// Returns the time since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> time::Duration {
        self.epoch + Instant::now().saturating_duration_since(self.start)
    }

    /// Returns the whole seconds since the Unix epoch.
    #[must_use]
    pub fn seconds(&self) -> u64 {
        self.now().as_secs()
    }
}
