//! Checks that settings must pass before a process starts.

mod agent;
mod deployment;
mod entry;
mod platform;

pub use deployment::Deployment;

use std::net;
use std::ops;

use crate::findings;

/// Length of a usage window, in seconds.
const WINDOW_S: ops::RangeInclusive<u64> = 1..=86_400;

/// Requires that no two addresses of one process need the same port of the same interface.
fn check_addresses(addresses: &[(&str, net::SocketAddr)], findings: &mut findings::Findings) {
    for (i, (path, address)) in addresses.iter().enumerate() {
        for (other, taken) in &addresses[..i] {
            let expected = format!("an address other than that of '{other}'");
            findings.agree(!collides(*address, *taken), path, expected);
        }
    }
}

/// Requires an address that other VMs can connect to.
fn check_reachable(path: &str, address: net::SocketAddr, findings: &mut findings::Findings) {
    let expected = "the IP number of this VM: other processes are told this address";
    findings.require(!address.ip().is_unspecified(), path, expected);
}

fn collides(a: net::SocketAddr, b: net::SocketAddr) -> bool {
    let host = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    host && a.port() == b.port() && a.port() != 0
}

/// Requires the URL of a service, without TLS and without a trailing slash.
fn check_url(path: &str, url: &str, findings: &mut findings::Findings) {
    let host = url.strip_prefix("http://").unwrap_or_default();
    let plain = host.chars().all(|c| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '@'));
    let sound = !host.is_empty() && !host.starts_with(['/', ':']) && !host.ends_with('/') && plain;
    findings.require(sound, path, "a URL such as 'http://10.0.0.5:8080', without trailing slash");
}
