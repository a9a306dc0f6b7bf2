//! A failed attempt, as input of the retry decision.

use azuregap_core::refusal;
use tokio::time;

/// A failed attempt to run a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Attempts made so far, this one included.
    pub count: u32,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// When the response must be complete.
    pub deadline: time::Instant,
    /// The refusal or failure that ended the attempt.
    pub refusal: refusal::Refusal,
}

impl Attempt {
    /// The first attempt of a request that is not idempotent.
    #[must_use]
    pub const fn new(deadline: time::Instant, refusal: refusal::Refusal) -> Self {
        Self { count: 1, idempotent: false, deadline, refusal }
    }

    /// Sets the number of attempts made so far.
    #[must_use]
    pub const fn count(mut self, attempts: u32) -> Self {
        self.count = attempts;
        self
    }

    /// Sets whether the request may be run more than once.
    #[must_use]
    pub const fn idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }
}
