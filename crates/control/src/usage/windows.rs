//! Numbers of usage windows.

use std::time;

use crate::clock;

/// Shortest window.
const SHORTEST: time::Duration = time::Duration::from_secs(1);

/// Tells the number of the usage window of now.
#[derive(Clone, Copy, Debug)]
pub struct Windows {
    wall: clock::WallClock,
    length: time::Duration,
}

impl Windows {
    /// Windows of `length` by `wall`.
    #[must_use]
    pub fn new(wall: clock::WallClock, length: time::Duration) -> Self {
        Self { wall, length: length.max(SHORTEST) }
    }

    /// Windows of `length` by the system's clock.
    #[must_use]
    pub fn system(length: time::Duration) -> Self {
        Self::new(clock::WallClock::system(), length)
    }

    /// The window of now, counted from the Unix epoch.
    #[must_use]
    pub fn now(&self) -> u64 {
        let number = self.wall.now().as_nanos() / self.length.as_nanos();
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Length of a window.
    #[must_use]
    pub const fn length(&self) -> time::Duration {
        self.length
    }
}
