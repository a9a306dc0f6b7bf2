//! The gateway that reports usage.

use std::net;

use azuregap_core::ids;
use tokio::time;

/// The gateway that reports usage, as it introduced itself.
#[derive(Debug)]
pub(super) struct Reporter {
    pub(super) address: net::SocketAddr,
    pub(super) fence: ids::Fence,
    pub(super) heard_at: time::Instant,
}
