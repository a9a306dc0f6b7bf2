//! Pools of backend servers that serve the same model or plain service.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// What kind of backend server a pool has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Model,
    /// Plain services.
    Plain,
}

/// A model or plain service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name; for a model, the name callers use.
    pub name: ids::PoolId,
    /// Kind of backend server.
    pub kind: PoolKind,
    /// Requests one replica runs at once.
    pub slots: u32,
    /// Tokens (or, for plain services, requests) one replica serves per second.
    pub throughput: u32,
    /// Replicas wanted whatever the demand.
    pub min_replicas: u32,
    /// Most replicas wanted whatever the demand.
    pub max_replicas: u32,
}
