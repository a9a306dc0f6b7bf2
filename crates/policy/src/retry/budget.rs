//! The retry budget of one team at an entry.

/// Successes that earn one retry.
const EARNED_BY: u32 = 10;

/// Retries that can be saved up.
const MOST_SAVED: u32 = 4;

/// Retries that recent successes have earned; starts full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// In parts of a retry, [`EARNED_BY`] to one.
    parts: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { parts: MOST_SAVED * EARNED_BY }
    }
}

impl Budget {
    /// A full budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that succeeded.
    pub fn record_success(&mut self) {
        self.parts = (self.parts + 1).min(MOST_SAVED * EARNED_BY);
    }

    /// Retries that are left.
    #[must_use]
    pub const fn remaining(&self) -> u32 {
        self.parts / EARNED_BY
    }

    /// Takes one retry, if one is left.
    pub(super) fn spend(&mut self) -> bool {
        let enough = self.parts >= EARNED_BY;
        if enough {
            self.parts -= EARNED_BY;
        }
        enough
    }
}
