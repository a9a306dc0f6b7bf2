//! How long silence is borne, and how many processes are kept.

use std::time;

/// How long silence is borne, and how many processes are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// A process that did not speak for so long is not usable.
    pub silence_timeout: time::Duration,
    /// A silent process that is not listed is forgotten after so long.
    pub retention: time::Duration,
    /// Most processes that are kept.
    pub capacity: usize,
}

impl MembershipOptions {
    /// Default longest silence.
    pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

    /// Default memory for a silent process that is not listed.
    pub const RETENTION: time::Duration = time::Duration::from_secs(60);

    /// Default most processes.
    pub const CAPACITY: usize = 16_384;

    /// The defaults.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            silence_timeout: Self::SILENCE_TIMEOUT,
            retention: Self::RETENTION,
            capacity: Self::CAPACITY,
        }
    }

    /// Sets the longest silence.
    #[must_use]
    pub const fn silence_timeout(mut self, timeout: time::Duration) -> Self {
        self.silence_timeout = timeout;
        self
    }

    /// Sets the memory for a silent process.
    #[must_use]
    pub const fn retention(mut self, retention: time::Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the most processes.
    #[must_use]
    pub const fn capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity;
        self
    }
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self::new()
    }
}
