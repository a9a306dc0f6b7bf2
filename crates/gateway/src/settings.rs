//! Settings of a gateway process.

mod resources;

use std::collections;
use std::net;
use std::time::Duration;

use azuregap_core::ids;

use crate::decision::cold_server;
use crate::decision::retry_budget;

pub use resources::Resources;

/// Settings of a gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this VM.
    pub node: ids::NodeId,
    /// Availability zone of this VM.
    pub zone: ids::ZoneId,
    /// Address that clients connect to.
    pub http_address: net::SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness_address: net::SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: net::SocketAddr,
    /// UDP address that receives messages from other gateways.
    pub gossip_address: net::SocketAddr,
    /// Time within which a revoked key must stop working.
    pub revocation_bound: Duration,
    /// Time within which a new configuration must be in force.
    pub configuration_bound: Duration,
    /// Limits of the retry budget that all gateways share.
    pub retry_budget: retry_budget::Limits,
    /// Duration of the lease for usage reporting.
    pub lease_duration: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a usage window within which its report must be sent.
    pub report_deadline: Duration,
    /// Time from a stop request until the process is killed.
    pub grace_period: Duration,
    /// Region of each availability zone; a zone that isn't named is in no known region.
    pub regions: collections::BTreeMap<ids::ZoneId, ids::RegionId>,
    /// How far the pace of cold backend servers may be exceeded; `None` if they aren't protected.
    pub cold_bound: Option<cold_server::Bound>,
    /// Whether routes that aren't public require a key under any configuration, also one that has no
    /// list of teams.
    pub requires_keys: bool,
    /// What this process may use of its VM.
    pub resources: Resources,
}

impl Settings {
    /// Whether a running gateway with these settings can apply all of `other` without a restart.
    #[must_use]
    pub fn can_reload(&self, other: &Self) -> bool {
        let with_own_reloadable = Self {
            revocation_bound: self.revocation_bound,
            retry_budget: self.retry_budget,
            ..other.clone()
        };
        *self == with_own_reloadable
    }
}
