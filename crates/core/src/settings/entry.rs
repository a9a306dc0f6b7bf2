//! Settings of an entry VM.

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
    /// Availability zone of this VM.
    pub zone: ids::ZoneId,
    /// Where callers connect.
    pub listen: net::SocketAddr,
    /// Where operators connect.
    pub operators: net::SocketAddr,
    /// Where other azuregap processes connect for control messages.
    pub control: net::SocketAddr,
    /// The platform.
    pub platform: PlatformSettings,
    /// Digests of operator keys with the operators' names.
    pub operator_keys: Vec<OperatorKey>,
    /// Threads that serve callers.
    pub workers: usize,
    /// How long an answer may be silent before the entry asks again, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "silence_ms")]
    pub silence: time::Duration,
    /// How old the configuration may be before callers with keys are refused, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "max_stale_ms")]
    pub max_stale: time::Duration,
    /// Length of a usage window, in seconds.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    #[serde(rename = "window_s")]
    pub window: time::Duration,
    /// Statsd address for metrics; none means no metrics.
    #[serde(default)]
    pub statsd: Option<net::SocketAddr>,
}

/// An operator and the digest of their key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    /// Who it is, for the record of changes.
    pub name: String,
    /// SHA-256 digest of the key.
    pub digest: key::Digest,
}
