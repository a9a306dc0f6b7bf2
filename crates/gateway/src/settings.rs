//! Settings of a gateway.

use std::net;
use std::time::Duration;

use azuregap_core::ids;

use crate::decision::retry_budget;

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this VM.
    pub node: ids::NodeId,
    /// Availability zone of this VM.
    pub zone: ids::ZoneId,
    /// Where callers connect.
    pub callers: net::SocketAddr,
    /// Where readiness is asked.
    pub ready: net::SocketAddr,
    /// Where metrics are served.
    pub metrics: net::SocketAddr,
    /// Where datagrams of other gateways arrive.
    pub peers: net::SocketAddr,
    /// Time in which a revoked key must stop working.
    pub revocation: Duration,
    /// Terms of the shared budget of repeats.
    pub repeats: retry_budget::Limits,
    /// Term of the lease of the gateway that reports usage.
    pub lease: Duration,
    /// Length of a usage window.
    pub window: Duration,
    /// Time after a window's end in which its report is due.
    pub report_due: Duration,
    /// Time from a request to stop until the process is ended.
    pub grace: Duration,
}

impl Settings {
    /// Whether other settings differ at most in bounds that a running gateway can take.
    #[must_use]
    pub fn is_same_but_bounds(&self, other: &Self) -> bool {
        let with_own_bounds =
            Self { revocation: self.revocation, repeats: self.repeats, ..other.clone() };
        *self == with_own_bounds
    }
}
