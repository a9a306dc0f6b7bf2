//! Where the platform's services are.

use std::time;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Addresses of the platform's services, as URLs without a trailing slash.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Transactional table service.
    pub table: String,
    /// Object store.
    pub objects: String,
    /// Interface that orders backend servers by availability zone.
    pub orders: String,
    /// Interface that takes usage reports.
    pub usage: String,
    /// List of live and leaving VMs.
    pub vms: String,
    /// Deadline of one call, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: time::Duration,
}
