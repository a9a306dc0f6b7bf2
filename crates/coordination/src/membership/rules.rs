//! How long silence is borne, and how many processes are kept.

use std::time;

/// How long silence is borne, and how many processes are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipRules {
    /// A process that did not speak for so long is not usable.
    pub silence: time::Duration,
    /// A silent process that is not listed is forgotten after so long.
    pub memory: time::Duration,
    /// Most processes that are kept.
    pub capacity: usize,
}

impl MembershipRules {
    /// Default longest silence.
    pub const SILENCE: time::Duration = time::Duration::from_secs(3);

    /// Default memory for a silent process that is not listed.
    pub const MEMORY: time::Duration = time::Duration::from_secs(60);

    /// Default most processes.
    pub const CAPACITY: usize = 16_384;

    /// The defaults.
    #[must_use]
    pub const fn new() -> Self {
        Self { silence: Self::SILENCE, memory: Self::MEMORY, capacity: Self::CAPACITY }
    }

    /// Sets the longest silence.
    #[must_use]
    pub const fn silence(mut self, silence: time::Duration) -> Self {
        self.silence = silence;
        self
    }

    /// Sets the memory for a silent process.
    #[must_use]
    pub const fn memory(mut self, memory: time::Duration) -> Self {
        self.memory = memory;
        self
    }

    /// Sets the most processes.
    #[must_use]
    pub const fn capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity;
        self
    }
}

impl Default for MembershipRules {
    fn default() -> Self {
        Self::new()
    }
}
