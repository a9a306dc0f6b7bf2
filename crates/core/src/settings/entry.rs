//! Settings of an entry, the process that accepts callers' requests.

use std::net;
use std::time;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use super::PlatformSettings;
use crate::ids;
use crate::key;

/// Settings of one entry.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Unique name of this process.
    pub node: ids::NodeId,
    /// Availability zone of the VM.
    pub zone: ids::ZoneId,
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address for operators.
    pub operators: net::SocketAddr,
    /// Address for control messages from other azuregap processes.
    pub control: net::SocketAddr,
    /// Addresses of the platform services.
    pub platform: PlatformSettings,
    /// Names of the operators and digests of their keys.
    pub operator_keys: Vec<OperatorKey>,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// How long a response stream may be idle before the entry tries to resume it, in
    /// milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "silence_ms")]
    pub silence: time::Duration,
    /// Age of the configuration above which requests with keys are rejected, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "max_stale_ms")]
    pub max_stale: time::Duration,
    /// Length of a usage window, in seconds.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    #[serde(rename = "window_s")]
    pub window: time::Duration,
    /// StatsD address for metrics; `None` disables them.
    #[serde(default)]
    pub statsd: Option<net::SocketAddr>,
}

/// An operator and the digest of the operator's key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    /// Name of the operator, recorded with each change.
    pub name: String,
    /// SHA-256 digest of the key.
    pub digest: key::Digest,
}
