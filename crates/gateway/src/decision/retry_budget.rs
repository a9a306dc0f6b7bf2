//! A retry budget that all gateways share without a message for each retry.
//!
//! In any window, the retries of a service are limited to a ratio of its requests, in that window or
//! in the one before it, and a fixed allowance. A process grants a retry only if no window that
//! contains it could exceed this limit, even if no further request came: the ratio of the mean of the
//! process's requests in the window and in the one before it, and the process's part of the fixed
//! allowance, if it has one, see [`membership`].
//!
//! So each process keeps its limit in every window, whatever it knows of the others. A request counts
//! at one process only, and the parts add up to the allowance at most. The sum over processes that
//! start, end, freeze, are cut off or know nobody is therefore within the ratio of the mean of all
//! requests in the window and in the one before it, which is no more than the larger of both. A
//! process that has just started needs no memory of earlier ones: it has had no requests.
//!
//! For the window that ends `W - x` from now, the mean is half of the requests in the last `x + W`, and
//! the retries in it so far are those of the last `x`. A retry counts until a window after its outcome
//! is known, so it counts when it arrives.
//!
//! This answers services that fail for a while, partly or wholly, while gateways come and go: callers
//! of a fleet that runs on get all that the limit allows in each window, half of the ratio at once.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::decision::membership;
//! use azuregap_gateway::decision::retry_budget;
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let window = Duration::from_secs(10);
//! let limits = retry_budget::Limits { ratio: 0.2, slack: 50.0, window };
//! let fleet = retry_budget::Fleet { gateways: 4, standing: membership::Standing::Listed };
//! let mut budget = retry_budget::RetryBudget::new(limits);
//! (0..10).for_each(|_| budget.record_request("pool", now));
//! let grant = budget.try_acquire("pool", fleet, now).expect("a retry for ten requests");
//! assert!(budget.try_acquire("pool", fleet, now).is_none());
//! budget.release(grant, now);
//! ```

use std::collections;
use std::time::Duration;

use azuregap_core::ids;
use tokio::time;

use super::membership;

/// Share of the allowance that is used. The rest is for requests that are counted a moment after they
/// were sent, since they waited for a gateway that stood still.
const ALLOWANCE_SHARE: f64 = 0.9;

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

impl Fleet {
    /// This gateway's part of an allowance.
    fn part(self, allowance: f64) -> f64 {
        match self.standing {
            membership::Standing::Counted => {
                ALLOWANCE_SHARE * allowance / self.gateways.max(1) as f64
            }
            membership::Standing::Unlisted | membership::Standing::Listed => 0.0,
        }
    }
}

/// How much of a gateway's share of the budget of a service is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Retries in the window.
    pub used: u32,
    /// Retries in the window and those that may be granted now.
    pub allowed: u32,
}

/// A granted retry, until its outcome is known; see [`RetryBudget::release`].
#[must_use]
#[derive(Debug)]
pub struct Grant {
    service: ids::PoolId,
}

#[derive(Debug, Default)]
struct Account {
    /// Requests in the last two windows.
    requests: collections::VecDeque<time::Instant>,
    /// Retries whose outcome isn't known.
    pending: u32,
    /// When the outcome of each other retry in the last window was known.
    ended: collections::VecDeque<time::Instant>,
}

impl Account {
    fn prune(&mut self, window: Duration, now: time::Instant) {
        prune(&mut self.requests, now, window * 2);
        prune(&mut self.ended, now, window);
    }

    /// Retries that may be granted now.
    fn left(&self, limits: Limits, part: f64, now: time::Instant) -> u32 {
        // The window that begins now has the pending retries only, each other one also those that
        // ended since its begin; the limit falls as requests leave the window before it.
        let begins = std::iter::once(now).chain(self.ended.iter().rev().copied());
        let mut first = self.requests.len();
        let mut left = f64::INFINITY;
        for (ended, begin) in (0_u32..).zip(begins) {
            let is_within =
                |at: &time::Instant| begin.saturating_duration_since(*at) < limits.window;
            while first > 0 && is_within(&self.requests[first - 1]) {
                first -= 1;
            }
            let mean = (self.requests.len() - first) as f64 / 2.0;
            left = left.min(limits.ratio * mean + part - f64::from(self.pending + ended));
        }
        left.max(0.0) as u32
    }
}

/// Requests and retries of this gateway, by service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: Limits,
    accounts: collections::HashMap<ids::PoolId, Account>,
}

impl RetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self { limits, accounts: collections::HashMap::new() }
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
        let account = self.account(service);
        account.prune(window, now);
        account.requests.push_back(now);
    }

    /// Takes one retry for a service, if the budget allows it.
    pub fn try_acquire(
        &mut self,
        service: &str,
        fleet: Fleet,
        now: time::Instant,
    ) -> Option<Grant> {
        let usage = self.usage(service, fleet, now);
        (usage.used < usage.allowed).then(|| {
            self.account(service).pending += 1;
            Grant { service: service.to_owned() }
        })
    }

    /// Records that the outcome of a retry is known.
    pub fn release(&mut self, grant: Grant, now: time::Instant) {
        let account = self.account(&grant.service);
        account.pending = account.pending.saturating_sub(1);
        account.ended.push_back(now);
    }

    /// How much of this gateway's share of the budget is used.
    pub fn usage(&mut self, service: &str, fleet: Fleet, now: time::Instant) -> Usage {
        let limits = self.limits;
        let account = self.account(service);
        account.prune(limits.window, now);
        let used = account.pending + account.ended.len() as u32;
        Usage { used, allowed: used + account.left(limits, fleet.part(limits.slack), now) }
    }

    fn account(&mut self, service: &str) -> &mut Account {
        if !self.accounts.contains_key(service) {
            self.accounts.insert(service.to_owned(), Account::default());
        }
        self.accounts.get_mut(service).expect("the account was added above")
    }
}

fn prune(times: &mut collections::VecDeque<time::Instant>, now: time::Instant, span: Duration) {
    while times.front().is_some_and(|at| now.saturating_duration_since(*at) >= span) {
        times.pop_front();
    }
}
