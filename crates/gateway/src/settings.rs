//! Settings of a gateway.

use std::net;
use std::time::Duration;

use azuregap_core::ids;

use crate::decision::repeats;

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this VM.
    pub node: ids::NodeId,
    /// Availability zone of this VM.
    pub zone: ids::ZoneId,
    /// Where callers connect.
    pub http_address: net::SocketAddr,
    /// Where readiness is asked.
    pub readiness_address: net::SocketAddr,
    /// Where metrics are served.
    pub metrics_address: net::SocketAddr,
    /// Where datagrams of other gateways arrive.
    pub gossip_address: net::SocketAddr,
    /// Time in which a revoked key must stop working.
    pub revocation_bound: Duration,
    /// Terms of the shared budget of repeats.
    pub retry_budget: repeats::Terms,
    /// Term of the lease of the gateway that reports usage.
    pub lease_duration: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after a window's end in which its report is due.
    pub report_deadline: Duration,
    /// Time from a request to stop until the process is ended.
    pub grace_period: Duration,
}

impl Settings {
    /// Whether other settings differ at most in bounds that a running gateway can take.
    #[must_use]
    pub fn can_reload(&self, other: &Self) -> bool {
        let with_own_bounds = Self {
            revocation_bound: self.revocation_bound,
            retry_budget: self.retry_budget,
            ..other.clone()
        };
        *self == with_own_bounds
    }
}
