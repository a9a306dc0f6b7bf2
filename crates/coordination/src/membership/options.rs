//! Options of the membership table.

use std::time;

/// Options of the membership table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// Time without messages after which a process is no longer usable.
    pub silence_timeout: time::Duration,
    /// Time after which a silent process that is not listed is removed.
    pub retention: time::Duration,
    /// Maximum number of processes in the table.
    pub capacity: usize,
}

impl MembershipOptions {
    /// Default silence timeout.
    pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

    /// Default retention of a silent process that is not listed.
    pub const RETENTION: time::Duration = time::Duration::from_secs(60);

    /// Default maximum number of processes.
    pub const CAPACITY: usize = 16_384;

    /// Creates the default options.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            silence_timeout: Self::SILENCE_TIMEOUT,
            retention: Self::RETENTION,
            capacity: Self::CAPACITY,
        }
    }

    /// Sets the silence timeout.
    #[must_use]
    pub const fn silence_timeout(mut self, timeout: time::Duration) -> Self {
        self.silence_timeout = timeout;
        self
    }

    /// Sets the retention of a silent process that is not listed.
    #[must_use]
    pub const fn retention(mut self, retention: time::Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the maximum number of processes.
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
