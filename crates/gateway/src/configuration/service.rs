//! A service and the capacity of its backend servers.

use azuregap_core::ids;

use super::cold_start;

/// A service: backend servers that handle the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name given by the operator.
    pub name: ids::PoolId,
    /// Maximum number of connections to one backend server, of all callers together.
    pub max_connections: u32,
    /// What backend servers tolerate after they have started; `None` if they are warm at once.
    pub cold_start: Option<cold_start::ColdStart>,
}
