//! A retry budget that all gateways share without a message for each retry.
//!
//! In any window, the retries of a service are limited to a ratio of its requests plus a fixed
//! allowance. The ratio applies to this gateway's own requests; the allowance is divided by the
//! number of known gateways, silent ones included, and used only by those that all others count, see
//! [`membership`].

use std::collections;
use std::time::Duration;

use azuregap_core::ids;
use tokio::time;

use super::membership;

/// Share of the budget that is used.
const USABLE_SHARE: f64 = 0.7;

/// Limits of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Additional retries allowed, of all gateways together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// The fleet that shares the budget, as a gateway knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Gateways, including this one and those that are silent.
    pub gateways: usize,
    /// What the others know about this one.
    pub standing: membership::Standing,
}

/// How much of a gateway's share of the budget of a service is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Retries in the window.
    pub used: u32,
    /// Retries allowed in the window.
    pub allowed: u32,
}

#[derive(Debug, Default)]
struct Counts {
    requests: collections::VecDeque<time::Instant>,
    retries: collections::VecDeque<time::Instant>,
}

/// Requests and retries of this gateway, by service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: Limits,
    services: collections::HashMap<ids::PoolId, Counts>,
}

impl RetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { limits, services: collections::HashMap::new() }
    }

    /// Length of the window.
    #[must_use]
    pub const fn window(&self) -> Duration {
        self.limits.window
    }

    /// Sets the limits; returns whether they changed.
    pub fn set_limits(&mut self, limits: Limits) -> bool {
        std::mem::replace(&mut self.limits, limits) != limits
    }

    /// Counts a caller's request for a service.
    pub fn record_request(&mut self, service: &str, now: time::Instant) {
        let window = self.limits.window;
        let counts = self.counts(service);
        counts.requests.push_back(now);
        prune(&mut counts.requests, now, window);
    }

    /// Takes one retry for a service; returns whether the budget allows it.
    pub fn try_acquire(&mut self, service: &str, fleet: Fleet, now: time::Instant) -> bool {
        let usage = self.usage(service, fleet, now);
        let granted = usage.used < usage.allowed;
        if granted {
            self.counts(service).retries.push_back(now);
        }
        granted
    }

    /// How much of this gateway's share of the budget is used.
    pub fn usage(&mut self, service: &str, fleet: Fleet, now: time::Instant) -> Usage {
        let limits = self.limits;
        let counts = self.counts(service);
        prune(&mut counts.requests, now, limits.window);
        prune(&mut counts.retries, now, limits.window);
        let slack = match fleet.standing {
            membership::Standing::Counted => limits.slack / fleet.gateways.max(1) as f64,
            _ => 0.0,
        };
        let allowed = (limits.ratio * counts.requests.len() as f64 + slack) * USABLE_SHARE;
        Usage { used: counts.retries.len() as u32, allowed: allowed as u32 }
    }

    fn counts(&mut self, service: &str) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Counts::default());
        }
        self.services.get_mut(service).expect("the service was added above")
    }
}

fn prune(times: &mut collections::VecDeque<time::Instant>, now: time::Instant, window: Duration) {
    while times.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
        times.pop_front();
    }
}
