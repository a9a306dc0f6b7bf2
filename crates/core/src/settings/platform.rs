//! Addresses of the platform services.

use std::time;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// URLs of the platform services, without a trailing slash.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Transactional table service.
    pub table: String,
    /// Object store.
    pub objects: String,
    /// API that orders backend servers per availability zone.
    pub orders: String,
    /// API that accepts usage reports.
    pub usage: String,
    /// List of VMs that are running or being shut down.
    pub vms: String,
    /// Timeout of a call, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: time::Duration,
}
