//! A backend server as it describes itself.

use std::net;

use azuregap_core::ids;

/// A backend server as its entry in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Its id.
    pub id: ids::BackendId,
    /// When it started, in milliseconds since 1970; with the id it names one run of the server.
    pub started_ms: u64,
    /// Service that it answers for.
    pub service: ids::PoolId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new requests.
    pub draining: bool,
}
