//! Decides whether the known keys and routes are recent enough to act on.
//!
//! If a denial would be based on an old configuration, the gateway queries the store first. The
//! caller is told to retry later only if the store can't be reached. Callers with revoked keys and
//! requests for routes that don't exist thus get a final response in normal operation.

use std::time::Duration;

use tokio::time;

/// Part of the revocation bound that is reserved for a request on its way to a backend server.
const DISPATCH_MARGIN: Duration = Duration::from_millis(500);

/// Maximum age of the configuration for a final "no such route" or "no such key": the longest wait
/// of a query to a healthy store, including the response.
const MAX_DENIAL_AGE: Duration = Duration::from_millis(2_800);

/// Age of the configuration, on a clock that also counts the time in which the VM is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    bound: Duration,
    confirmed_at: Option<time::Instant>,
    last_failed: bool,
    /// When the store was reached again after the last failure.
    recovered_at: Option<time::Instant>,
}

impl Freshness {
    /// Creates a state without a confirmation; a revoked key must stop working within `bound`.
    #[must_use]
    pub const fn new(bound: Duration) -> Self {
        Self { bound, confirmed_at: None, last_failed: false, recovered_at: None }
    }

    /// Sets the time within which a revoked key must stop working; returns whether it changed.
    pub fn set_bound(&mut self, bound: Duration) -> bool {
        std::mem::replace(&mut self.bound, bound) != bound
    }

    /// Records that the store had no newer configuration when it was queried at `queried_at`.
    pub fn record_confirmation(&mut self, queried_at: time::Instant) {
        self.confirmed_at = Some(self.confirmed_at.map_or(queried_at, |at| at.max(queried_at)));
        if std::mem::take(&mut self.last_failed) {
            self.recovered_at = Some(queried_at);
        }
    }

    /// Records that the store did not respond to the last query.
    pub fn record_failure(&mut self) {
        self.last_failed = true;
    }

    /// Whether the store is likely to respond to a query.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        self.confirmed_at.is_some() && !self.last_failed
    }

    /// Whether the last query was answered, or none has failed yet.
    #[must_use]
    pub const fn is_store_answering(&self) -> bool {
        !self.last_failed
    }

    /// For how long the store has been reached without a failure; `None` since the last failure.
    #[must_use]
    pub fn reachable_for(&self, now: time::Instant) -> Option<Duration> {
        let recovered = self.recovered_at.map(|at| now.saturating_duration_since(at));
        (!self.last_failed).then_some(recovered.unwrap_or(Duration::MAX))
    }

    /// When the store was last asked and confirmed the configuration.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<time::Instant> {
        self.confirmed_at
    }

    /// Age of the newest confirmation.
    #[must_use]
    pub fn age(&self, now: time::Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// How long the store may wait for a change, at most `longest`, if the change then takes `transfer`
    /// to arrive: until it is there, the age of what is known is twice the wait and the transfer.
    #[must_use]
    pub fn watch_wait(&self, longest: Duration, transfer: Duration) -> Duration {
        let spare = self.bound.saturating_sub(DISPATCH_MARGIN + transfer);
        (spare / 2).min(longest)
    }

    /// Whether a known key may be accepted as valid.
    #[must_use]
    pub fn may_trust_keys(&self, now: time::Instant) -> bool {
        self.age(now).is_some_and(|age| age + DISPATCH_MARGIN < self.bound)
    }

    /// Whether an unknown route or key may be denied with a final response.
    #[must_use]
    pub fn may_deny(&self, now: time::Instant) -> bool {
        self.age(now).is_some_and(|age| age < MAX_DENIAL_AGE)
    }
}
