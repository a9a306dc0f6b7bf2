//! Free addresses on loopback.

use std::io;
use std::net;

/// Picks `count` addresses that are free now.
///
/// # Errors
///
/// When loopback has no free port.
pub(super) fn free(count: usize) -> io::Result<Vec<net::SocketAddr>> {
    let listen = |_| net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0));
    let listeners: Vec<_> = (0..count).map(listen).collect::<io::Result<_>>()?;
    listeners.iter().map(net::TcpListener::local_addr).collect()
}
