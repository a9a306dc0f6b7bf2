//! A backend server as registered in the store.

use std::net;
use std::time::Duration;

use azuregap_core::ids;

/// A backend server as described by its entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Its id.
    pub id: ids::BackendId,
    /// When it started, in milliseconds since 1970; together with the id it identifies one run of
    /// the server.
    pub started_ms: u64,
    /// Service whose requests it handles.
    pub service: ids::PoolId,
    /// Address on which it listens.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub draining: bool,
    /// How long it stays cold; zero if it is warm, `None` if the entry doesn't say how long.
    pub cold_left: Option<Duration>,
}
