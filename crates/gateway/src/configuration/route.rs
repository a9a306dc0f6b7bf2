//! Routes from a host and path to services.

use std::time::Duration;

use azuregap_core::ids;
use smallvec::SmallVec;

use crate::decision::homes;

/// How the requests of a route may be retried, and whether the response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is a stream of events; a request runs at most once unless it is resumable.
    Stream {
        /// Whether another backend server may continue after the last event.
        resumable: bool,
        /// Maximum gap between events that are still on time.
        max_gap: Duration,
    },
}

impl RouteKind {
    /// Whether a request may be retried after an attempt with an unknown outcome.
    #[must_use]
    pub const fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true, .. })
    }

    /// Maximum gap between events of a stream that are still on time.
    #[must_use]
    pub const fn max_gap(self) -> Option<Duration> {
        match self {
            Self::Stream { max_gap, .. } => Some(max_gap),
            Self::Idempotent | Self::NonIdempotent => None,
        }
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that gets part of the traffic of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ids::PoolId,
    /// Its weight; the traffic is split in proportion to the weights.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name given by the operator.
    pub name: String,
    /// Host in the requests.
    pub host: String,
    /// Path prefix of the requests; starts and ends with a slash.
    pub prefix: String,
    /// How requests may be retried, and whether the response is a stream.
    pub kind: RouteKind,
    /// Services that handle the requests.
    pub services: SmallVec<[WeightedService; 2]>,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Time within which a response is on time; for a stream, its first event.
    pub latency_target: Duration,
    /// Tier of the requests among those of teams of the same tier.
    pub tier: ids::Tier,
    /// Maximum number of backend servers on which one request may run.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions in which requests must stay; without any they may go everywhere.
    pub homes: homes::Regions,
}

impl Route {
    /// Chooses the service for a request by weight; `draw` is evenly distributed over requests. Without
    /// a service of some weight there is none.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> Option<&ids::PoolId> {
        let total: u64 = self.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
        let mut point = draw.checked_rem(total)?;
        for weighted in &self.services {
            if point < u64::from(weighted.weight) {
                return Some(&weighted.service);
            }
            point -= u64::from(weighted.weight);
        }
        None
    }
}
