//! Options of a batcher.

use std::time;

/// Options of a batcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchOptions {
    /// Maximum time for which a record is queued before its batch is written.
    pub interval: time::Duration,
    /// Maximum number of records in a batch.
    pub batch_size: usize,
    /// Maximum number of records in memory.
    pub capacity: usize,
}

impl BatchOptions {
    /// Default maximum queueing time of a record.
    pub const INTERVAL: time::Duration = time::Duration::from_secs(5);

    /// Default maximum batch size.
    pub const BATCH_SIZE: usize = 1000;

    /// Default maximum number of records in memory.
    pub const CAPACITY: usize = 100_000;

    /// Creates the default options.
    #[must_use]
    pub const fn new() -> Self {
        Self { interval: Self::INTERVAL, batch_size: Self::BATCH_SIZE, capacity: Self::CAPACITY }
    }

    /// Sets the maximum queueing time of a record.
    #[must_use]
    pub const fn interval(mut self, interval: time::Duration) -> Self {
        self.interval = interval;
        self
    }

    /// Sets the maximum batch size.
    #[must_use]
    pub const fn batch_size(mut self, size: usize) -> Self {
        self.batch_size = size;
        self
    }

    /// Sets the maximum number of records in memory.
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
