//! Pools of backend servers that serve the same model or plain service.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// Kind of the backend servers in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Model,
    /// Plain services.
    Plain,
}

/// A model or plain service and the limits of its replicas.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name; for a model, the name that callers send.
    pub name: ids::PoolId,
    /// Kind of the backend servers.
    pub kind: PoolKind,
    /// Maximum number of requests that a replica runs concurrently.
    pub slots: u32,
    /// Tokens (or, for plain services, requests) that a replica serves per second.
    pub throughput: u32,
    /// Minimum number of replicas, regardless of demand.
    pub min_replicas: u32,
    /// Maximum number of replicas, regardless of demand.
    pub max_replicas: u32,
}
