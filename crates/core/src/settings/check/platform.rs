//! Checks of the platform's addresses.

use super::super::PlatformSettings;
use super::check_url;
use crate::findings;

/// Deadlines of one call, in milliseconds.
const TIMEOUT_MS: std::ops::RangeInclusive<u64> = 10..=60_000;

pub(super) fn check(platform: &PlatformSettings, findings: &mut findings::Findings) {
    let services = [
        ("platform.table", &platform.table),
        ("platform.objects", &platform.objects),
        ("platform.orders", &platform.orders),
        ("platform.usage", &platform.usage),
        ("platform.vms", &platform.vms),
    ];
    for (path, url) in services {
        check_url(path, url, findings);
    }
    findings.milliseconds(platform.timeout, TIMEOUT_MS, "platform.timeout_ms");
}
