//! Whether what the gateway knows of keys and routes is recent enough to act on.
//!
//! A denial that would rest on an old configuration makes the gateway ask the store at once, unless
//! the store is known to be out of reach; only then the caller is sent away to come back. This
//! answers callers whose keys were withdrawn, and probes of routes that never were, in calm times.

use std::time::Duration;

use tokio::time;

/// Part of the revocation bound that is left for a request on its way to a backend server.
const MARGIN: Duration = Duration::from_millis(500);

/// A "no such route" or "no such key" is only given if the configuration was confirmed this
/// recently. Source: the longest wait of a healthy question to the store, and its answer.
const NEGATIVE: Duration = Duration::from_millis(2_800);

/// Age of the configuration, on a clock that counts the time in which the VM is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    bound: Duration,
    confirmed: Option<time::Instant>,
    lost: bool,
}

impl Freshness {
    /// Nothing confirmed yet; a revoked key must stop within `bound`.
    #[must_use]
    pub const fn new(bound: Duration) -> Self {
        Self { bound, confirmed: None, lost: false }
    }

    /// Sets the time in which a revoked key must stop; whether that is a change.
    pub fn set_bound(&mut self, bound: Duration) -> bool {
        std::mem::replace(&mut self.bound, bound) != bound
    }

    /// The store confirmed that nothing newer existed when it was asked at this instant.
    pub fn record_confirmation(&mut self, asked: time::Instant) {
        self.confirmed = Some(self.confirmed.map_or(asked, |known| known.max(asked)));
        self.lost = false;
    }

    /// The store did not answer the last question.
    pub fn record_failure(&mut self) {
        self.lost = true;
    }

    /// Whether a question to the store is likely to be answered.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        self.confirmed.is_some() && !self.lost
    }

    /// Age of the newest confirmation.
    #[must_use]
    pub fn age(&self, now: time::Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    /// Whether a key may be taken as valid.
    #[must_use]
    pub fn may_trust_keys(&self, now: time::Instant) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < self.bound)
    }

    /// Whether a missing route or key may be told as final.
    #[must_use]
    pub fn may_deny(&self, now: time::Instant) -> bool {
        self.age(now).is_some_and(|age| age < NEGATIVE)
    }
}
