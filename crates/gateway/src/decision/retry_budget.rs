//! A retry budget that all gateways share without a message for each retry.
//!
//! In any window, the retries of a service are limited to a ratio of its requests, in that window or
//! in the one before it, and a fixed allowance. Each process draws from two sources, of which the
//! first keeps its retries in any window of length `W` that ends at `T` within a part of the requests
//! in the window before it, and the second within a part of those in the same window:
//!
//! - **Window.** The retries of the last `W` stay below [`STEADY_SHARE`] of the ratio of the fewest
//!   requests in any window that ended in the last `W`. The last retry in the window at `T` was
//!   granted after `T - W`, so the window that ended at `T - W` was one of these.
//! - **Bucket.** Each request adds the rest of the ratio. What is in the bucket at `T - W`, and what is
//!   in transit then, is all that may be used beyond what the requests in the window add.
//!
//! Both hold for a process by itself, and requests count at one process only, so the sum over
//! processes that start, end, freeze or know nobody holds too: a process that has just started has no
//! window, and its bucket is empty. What the bucket may hold, and a constant that is added to the
//! limit of the window, are the process's part of the fixed allowance; the parts of all processes
//! that lived at `T - W` add up to it at most, see [`membership`]. Gateways that others may not count
//! yet have a bucket only, and each other one leaves as much as its own bucket holds for them, so the
//! fleet may double meanwhile.
//!
//! A retry counts until a window after its outcome is known, so it counts when it arrives.

use std::collections;
use std::time::Duration;

use azuregap_core::ids;
use tokio::time;

use super::membership;

/// Share of the ratio that the window grants; the bucket grants the rest.
const STEADY_SHARE: f64 = 0.5;

/// Share of a gateway's part of the fixed allowance that the window grants.
const WINDOW_SHARE: f64 = 0.7;

/// Share of a gateway's part of the fixed allowance that the bucket may hold.
const BUCKET_SHARE: f64 = 0.15;

/// A gateway whose part of the fixed allowance is no larger has no bucket, which holds one retry at
/// least.
const MIN_BUCKET_PART: f64 = 2.0;

/// Error of the sum of many parts of a retry.
const ROUNDING: f64 = 1e-9;

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

/// A gateway's part of the fixed allowance, in retries.
#[derive(Clone, Copy, Debug, Default)]
struct Allowance {
    /// Retries that the bucket holds at most.
    bucket: f64,
    /// Retries per window beside those for requests.
    window: f64,
}

impl Allowance {
    /// Leaves at least as much as the bucket holds for a gateway that isn't counted yet.
    fn new(slack: f64, fleet: Fleet) -> Self {
        if fleet.standing == membership::Standing::Unlisted {
            return Self::default();
        }
        let part = slack / fleet.gateways.max(1) as f64;
        let bucket = if part > MIN_BUCKET_PART { (part * BUCKET_SHARE).max(1.0) } else { 0.0 };
        let window = match fleet.standing {
            membership::Standing::Counted => (part * WINDOW_SHARE).min(part - 2.0 * bucket),
            _ => 0.0,
        };
        Self { bucket, window }
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

/// Where a retry was taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Window,
    Bucket,
}

/// A granted retry, until its outcome is known; see [`RetryBudget::release`].
#[must_use]
#[derive(Debug)]
pub struct Grant {
    service: ids::PoolId,
    source: Source,
}

/// Retries from one source.
#[derive(Debug, Default)]
struct Retries {
    /// Retries whose outcome isn't known.
    pending: u32,
    /// When the outcome of each other one in the window was known.
    ended: collections::VecDeque<time::Instant>,
}

impl Retries {
    fn count(&self) -> u32 {
        self.pending + self.ended.len() as u32
    }
}

#[derive(Debug, Default)]
struct Account {
    /// Requests in the last two windows.
    requests: collections::VecDeque<time::Instant>,
    window: Retries,
    bucket: Retries,
    /// Content of the bucket, in retries.
    tokens: f64,
}

impl Account {
    fn prune(&mut self, window: Duration, now: time::Instant) {
        prune(&mut self.requests, now, window * 2);
        prune(&mut self.window.ended, now, window);
        prune(&mut self.bucket.ended, now, window);
    }

    fn retries(&mut self, source: Source) -> &mut Retries {
        match source {
            Source::Window => &mut self.window,
            Source::Bucket => &mut self.bucket,
        }
    }

    /// Adds to the bucket, which holds retries in transit too.
    fn fill(&mut self, tokens: f64, allowance: Allowance) {
        let room = (allowance.bucket - f64::from(self.bucket.pending)).max(0.0);
        self.tokens = (self.tokens + tokens).min(room);
    }

    /// Fewest requests in any window that ended in the last window.
    fn steady_requests(&self, window: Duration, now: time::Instant) -> usize {
        let is_older = |at: &time::Instant| now.saturating_duration_since(*at) >= window;
        let older = self.requests.partition_point(is_older);
        let (mut fewest, mut until) = (older, older);
        // The count falls only as a request leaves the window.
        for (index, left) in self.requests.iter().take(older).enumerate() {
            while self.requests.get(until).is_some_and(|at| *at <= *left + window) {
                until += 1;
            }
            fewest = fewest.min(until - index - 1);
        }
        fewest
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
    pub fn record_request(&mut self, service: &str, fleet: Fleet, now: time::Instant) {
        let limits = self.limits;
        let account = self.account(service);
        account.prune(limits.window, now);
        account.requests.push_back(now);
        let tokens = limits.ratio * (1.0 - STEADY_SHARE);
        account.fill(tokens, Allowance::new(limits.slack, fleet));
    }

    /// Takes one retry for a service, if the budget allows it.
    pub fn try_acquire(
        &mut self,
        service: &str,
        fleet: Fleet,
        now: time::Instant,
    ) -> Option<Grant> {
        let limit = self.window_limit(service, fleet, now);
        let account = self.account(service);
        let source = if account.tokens + ROUNDING >= 1.0 {
            account.tokens -= 1.0;
            Source::Bucket
        } else if account.window.count() < limit {
            Source::Window
        } else {
            return None;
        };
        account.retries(source).pending += 1;
        Some(Grant { service: service.to_owned(), source })
    }

    /// Records that the outcome of a retry is known.
    pub fn release(&mut self, grant: Grant, now: time::Instant) {
        let retries = self.account(&grant.service).retries(grant.source);
        retries.pending = retries.pending.saturating_sub(1);
        retries.ended.push_back(now);
    }

    /// How much of this gateway's share of the budget is used.
    pub fn usage(&mut self, service: &str, fleet: Fleet, now: time::Instant) -> Usage {
        let limit = self.window_limit(service, fleet, now);
        let account = self.account(service);
        let used = account.window.count() + account.bucket.count();
        let left =
            limit.saturating_sub(account.window.count()) + (account.tokens + ROUNDING) as u32;
        Usage { used, allowed: used + left }
    }

    /// Retries per window that the first source grants; brings the account up to date.
    fn window_limit(&mut self, service: &str, fleet: Fleet, now: time::Instant) -> u32 {
        let limits = self.limits;
        let account = self.account(service);
        account.prune(limits.window, now);
        let allowance = Allowance::new(limits.slack, fleet);
        account.fill(0.0, allowance);
        let steady = account.steady_requests(limits.window, now) as f64;
        (STEADY_SHARE * limits.ratio * steady + allowance.window) as u32
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
