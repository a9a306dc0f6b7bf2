//! Options of the relay tree.

use std::time;

/// Shape of the relay tree and interval of queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayOptions {
    /// Number of members of a zone that read the table service.
    pub readers: usize,
    /// Maximum number of children of a member.
    pub fan_out: usize,
    /// Maximum time between two queries to the parent or reads of the table service.
    pub interval: time::Duration,
}

impl RelayOptions {
    /// Default number of readers per zone.
    pub const READERS: usize = 2;

    /// Default number of children per member.
    pub const FAN_OUT: usize = 16;

    /// Default interval; four levels of the tree fit within the default maximum staleness.
    pub const INTERVAL: time::Duration = time::Duration::from_millis(750);

    /// Creates the default options.
    #[must_use]
    pub const fn new() -> Self {
        Self { readers: Self::READERS, fan_out: Self::FAN_OUT, interval: Self::INTERVAL }
    }

    /// Sets the number of readers per zone; at least one.
    #[must_use]
    pub const fn readers(mut self, readers: usize) -> Self {
        self.readers = if readers == 0 { 1 } else { readers };
        self
    }

    /// Sets the number of children per member; at least one.
    #[must_use]
    pub const fn fan_out(mut self, fan_out: usize) -> Self {
        self.fan_out = if fan_out == 0 { 1 } else { fan_out };
        self
    }

    /// Sets the query interval.
    #[must_use]
    pub const fn interval(mut self, interval: time::Duration) -> Self {
        self.interval = interval;
        self
    }
}

impl Default for RelayOptions {
    fn default() -> Self {
        Self::new()
    }
}
