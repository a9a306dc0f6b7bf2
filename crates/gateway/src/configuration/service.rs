//! A service and the capacity of its backend servers.

use azuregap_core::ids;

/// A service: backend servers that handle the same requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name given by the operator.
    pub name: ids::PoolId,
    /// Maximum number of connections to one backend server, of all callers together.
    pub max_connections: u32,
}
