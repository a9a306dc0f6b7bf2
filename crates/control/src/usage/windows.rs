//! Numbers of usage windows.

use std::time;

use tokio::time::Instant;

/// Tells the number of the usage window at an instant of the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub struct Windows {
    start: Instant,
    epoch: time::Duration,
    length: time::Duration,
}

impl Windows {
    /// Windows of `length`, where the time since the Unix epoch was `epoch` at `start`.
    #[must_use]
    pub fn new(start: Instant, epoch: time::Duration, length: time::Duration) -> Self {
        Self { start, epoch, length: length.max(time::Duration::from_secs(1)) }
    }

    /// Windows of `length` by the system's clock of now.
    #[must_use]
    pub fn system(length: time::Duration) -> Self {
        let epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        Self::new(Instant::now(), epoch, length)
    }

    /// The window that `now` lies in, counted from the Unix epoch.
    #[must_use]
    pub fn number(&self, now: Instant) -> u64 {
        let since = self.epoch + now.saturating_duration_since(self.start);
        let number = since.as_nanos() / self.length.as_nanos();
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Length of a window.
    #[must_use]
    pub const fn length(&self) -> time::Duration {
        self.length
    }
}
