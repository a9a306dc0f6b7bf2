//! Addresses and teams of simulated gateways.

use std::net;

use azuregap_gateway::decision::usage_counts;

/// Address of the gateway with an index.
pub fn address(index: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_200))
}

/// Index of the gateway with an address.
pub fn index_of(address: net::SocketAddr) -> usize {
    let net::IpAddr::V4(ip) = address.ip() else { return 0 };
    usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3])
}

/// Team of the requests at a gateway.
pub fn team(index: usize) -> usage_counts::TeamHash {
    index as usage_counts::TeamHash
}
