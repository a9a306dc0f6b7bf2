//! The shape of the relay tree.

use std::time;

/// The shape of the relay tree and the pace of asking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayOptions {
    /// Members of a zone that read the table service.
    pub readers: usize,
    /// Most children of a member.
    pub fan_out: usize,
    /// Longest time between two questions to the parent or reads of the table service.
    pub interval: time::Duration,
}

impl RelayOptions {
    /// Default readers per zone.
    pub const READERS: usize = 2;

    /// Default children per member.
    pub const FAN_OUT: usize = 16;

    /// Default interval; four levels of the tree stay within the default longest age of a proof.
    pub const INTERVAL: time::Duration = time::Duration::from_millis(750);

    /// The defaults.
    #[must_use]
    pub const fn new() -> Self {
        Self { readers: Self::READERS, fan_out: Self::FAN_OUT, interval: Self::INTERVAL }
    }

    /// Sets the readers per zone; at least one.
    #[must_use]
    pub const fn readers(mut self, readers: usize) -> Self {
        self.readers = if readers == 0 { 1 } else { readers };
        self
    }

    /// Sets the children per member; at least one.
    #[must_use]
    pub const fn fan_out(mut self, fan_out: usize) -> Self {
        self.fan_out = if fan_out == 0 { 1 } else { fan_out };
        self
    }

    /// Sets the interval.
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
