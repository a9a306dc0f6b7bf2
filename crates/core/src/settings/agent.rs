//! Settings of the agent beside a backend server.

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
    /// Availability zone of this VM.
    pub zone: ids::ZoneId,
    /// Name of the backend server.
    pub backend: ids::BackendId,
    /// The pool it serves.
    pub pool: ids::PoolId,
    /// Where the backend server listens, as a URL without a trailing slash.
    pub engine: String,
    /// Whether it is a model engine; a plain service otherwise.
    pub model: bool,
    /// Whether the backend server refuses orders with an old fencing number by itself.
    pub checks_fence: bool,
    /// Where entries connect for answers.
    pub listen: net::SocketAddr,
    /// Where other azuregap processes connect for control messages.
    pub control: net::SocketAddr,
    /// The platform.
    pub platform: PlatformSettings,
    /// Requests the backend server runs at once.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Time between two heartbeats on a running answer, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "heartbeat_ms")]
    pub heartbeat: time::Duration,
    /// How long a run is kept after its connection was lost or its answer ended, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "keep_ms")]
    pub keep: time::Duration,
    /// Length of a usage window, in seconds.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    #[serde(rename = "window_s")]
    pub window: time::Duration,
    /// Statsd address for metrics; none means no metrics.
    #[serde(default)]
    pub statsd: Option<net::SocketAddr>,
}
