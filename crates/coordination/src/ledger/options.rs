//! When records are written.

use std::time;

/// When records are written, and how many may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchOptions {
    /// Longest time that a record waits for others.
    pub interval: time::Duration,
    /// Most records in a batch.
    pub batch_size: usize,
    /// Most records that wait, in memory.
    pub capacity: usize,
}

impl BatchOptions {
    /// Default longest time that a record waits for others.
    pub const INTERVAL: time::Duration = time::Duration::from_secs(5);

    /// Default most records in a batch.
    pub const BATCH_SIZE: usize = 1000;

    /// Default most records that wait.
    pub const CAPACITY: usize = 100_000;

    /// The defaults.
    #[must_use]
    pub const fn new() -> Self {
        Self { interval: Self::INTERVAL, batch_size: Self::BATCH_SIZE, capacity: Self::CAPACITY }
    }

    /// Sets the longest time that a record waits.
    #[must_use]
    pub const fn interval(mut self, interval: time::Duration) -> Self {
        self.interval = interval;
        self
    }

    /// Sets the most records in a batch.
    #[must_use]
    pub const fn batch_size(mut self, size: usize) -> Self {
        self.batch_size = size;
        self
    }

    /// Sets the most records that wait.
    #[must_use]
    pub const fn capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity;
        self
    }
}

impl Default for BatchOptions {
    fn default() -> Self {
        Self::new()
    }
}
