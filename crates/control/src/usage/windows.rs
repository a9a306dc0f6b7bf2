//! Numbering of usage windows.

use std::time;

use crate::clock;

/// Minimum length of a window.
const MIN_LENGTH: time::Duration = time::Duration::from_secs(1);

/// Computes the number of the current usage window.
#[derive(Clone, Copy, Debug)]
pub struct Windows {
    clock: clock::WallClock,
    length: time::Duration,
}

impl Windows {
    /// Creates windows of `length` on `clock`.
    #[must_use]
    pub fn new(clock: clock::WallClock, length: time::Duration) -> Self {
        Self { clock, length: length.max(MIN_LENGTH) }
    }

    /// Creates windows of `length` on the system clock.
    #[must_use]
    pub fn system(length: time::Duration) -> Self {
        Self::new(clock::WallClock::system(), length)
    }

    /// Returns the number of the current window, counted from the Unix epoch.
    #[must_use]
    pub fn now(&self) -> u64 {
        let number = self.clock.now().as_nanos() / self.length.as_nanos();
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Returns the length of a window.
    #[must_use]
    pub const fn length(&self) -> time::Duration {
        self.length
    }
}
