//! Validation of settings before a process starts.

mod agent;
mod deployment;
mod entry;
mod platform;

pub use deployment::Deployment;

use std::net;
use std::ops;

use crate::findings;

/// Allowed length of a usage window, in seconds.
const WINDOW_S: ops::RangeInclusive<u64> = 1..=86_400;

/// Requires that no two addresses of a process bind the same port of the same interface.
fn check_addresses(addresses: &[(&str, net::SocketAddr)], findings: &mut findings::Findings) {
    for (i, (path, address)) in addresses.iter().enumerate() {
        for (other_path, other) in &addresses[..i] {
            let expected = format!("an address other than that of '{other_path}'");
            findings.require_consistent(!conflicts(*address, *other), path, expected);
        }
    }
}

/// Requires an address that other VMs can connect to.
fn check_reachable(path: &str, address: net::SocketAddr, findings: &mut findings::Findings) {
    let expected = "the IP number of this VM: other processes are told this address";
    findings.require(!address.ip().is_unspecified(), path, expected);
}

/// Returns whether both addresses bind the same port; port 0 never conflicts.
fn conflicts(a: net::SocketAddr, b: net::SocketAddr) -> bool {
    let same_interface = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same_interface && a.port() == b.port() && a.port() != 0
}

/// Requires an `http` URL without a trailing slash.
fn check_url(path: &str, url: &str, findings: &mut findings::Findings) {
    let rest = url.strip_prefix("http://").unwrap_or_default();
    let allowed = rest.chars().all(|c| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '@'));
    let valid =
        !rest.is_empty() && !rest.starts_with(['/', ':']) && !rest.ends_with('/') && allowed;
    findings.require(valid, path, "a URL such as 'http://10.0.0.5:8080', without trailing slash");
}
