//! The retry budget of one team at an entry.

/// Successful requests that earn one retry.
const SUCCESSES_PER_RETRY: u32 = 10;

/// Largest number of retries that can be saved up.
const MAX_RETRIES: u32 = 4;

/// Retries earned by recent successful requests; starts full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Balance in successes; [`SUCCESSES_PER_RETRY`] of them pay for a retry.
    balance: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance: MAX_RETRIES * SUCCESSES_PER_RETRY }
    }
}

impl Budget {
    /// A full budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a successful request.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + 1).min(MAX_RETRIES * SUCCESSES_PER_RETRY);
    }

    /// Number of remaining retries.
    #[must_use]
    pub const fn remaining(&self) -> u32 {
        self.balance / SUCCESSES_PER_RETRY
    }

    /// Pays for one retry; returns whether the balance covers it.
    pub(super) fn try_spend(&mut self) -> bool {
        let enough = self.balance >= SUCCESSES_PER_RETRY;
        if enough {
            self.balance -= SUCCESSES_PER_RETRY;
        }
        enough
    }
}
