//! Settings of an agent, the process that runs next to a backend server.

use std::net;
use std::time;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use super::PlatformSettings;
use crate::ids;

/// Settings of one agent.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Unique name of this process.
    pub node: ids::NodeId,
    /// Availability zone of the VM.
    pub zone: ids::ZoneId,
    /// Name of the backend server.
    pub backend: ids::BackendId,
    /// Pool that the backend server belongs to.
    pub pool: ids::PoolId,
    /// URL of the backend server, without a trailing slash.
    pub engine: String,
    /// Whether the backend server is a model engine rather than a plain service.
    pub model: bool,
    /// Whether the backend server itself rejects orders with an outdated fencing token.
    pub checks_fence: bool,
    /// Address on which entries connect to run requests.
    pub listen: net::SocketAddr,
    /// Address for control messages from other azuregap processes.
    pub control: net::SocketAddr,
    /// Addresses of the platform services.
    pub platform: PlatformSettings,
    /// Maximum number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Maximum number of queued requests.
    pub queue: u32,
    /// Heartbeat interval on a response stream, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "heartbeat_ms")]
    pub heartbeat: time::Duration,
    /// How long a run is kept after its connection was lost or its response ended, in
    /// milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "keep_ms")]
    pub keep: time::Duration,
    /// Length of a usage window, in seconds.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    #[serde(rename = "window_s")]
    pub window: time::Duration,
    /// StatsD address for metrics; `None` disables them.
    #[serde(default)]
    pub statsd: Option<net::SocketAddr>,
}
