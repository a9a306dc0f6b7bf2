//! A route from a host and path to a service.

use std::time::Duration;

use azuregap_core::ids;
use smallvec::SmallVec;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once unless it is resumable.
    Stream {
        /// Whether another backend server may go on after the last event.
        resumable: bool,
        /// Longest pause between events that is still on time.
        max_gap: Duration,
    },
}

impl RouteKind {
    /// Whether a request may be run again after an attempt whose outcome is unknown.
    #[must_use]
    pub const fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true, .. })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ids::PoolId,
    /// Its weight.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name given by the operator.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services that answer.
    pub services: SmallVec<[WeightedService; 2]>,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which an answer is on time; streams: the first event.
    pub latency_target: Duration,
    /// Tier, unless the team has its own.
    pub tier: ids::Tier,
    /// Most backend servers on which one request may run.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
}

impl Route {
    /// The service for a request; `draw` is spread evenly over all requests.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> Option<&ids::PoolId> {
        let total: u64 = self.services.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = if total == 0 { 0 } else { draw % total };
        for share in &self.services {
            if point < u64::from(share.weight) {
                return Some(&share.service);
            }
            point -= u64::from(share.weight);
        }
        self.services.first().map(|share| &share.service)
    }
}
