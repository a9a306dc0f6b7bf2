//! A service and what its backend servers can bear.

use azuregap_core::ids;

/// A service: backend servers that answer the same requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name given by the operator.
    pub name: ids::PoolId,
    /// Connections that one backend server accepts from all callers together.
    pub max_connections: u32,
}
