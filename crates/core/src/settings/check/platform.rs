//! Validation of the platform settings.

use super::super::PlatformSettings;
use super::check_url;
use crate::findings;

/// Allowed timeout of a call, in milliseconds.
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
    findings.require_milliseconds(platform.timeout, TIMEOUT_MS, "platform.timeout_ms");
}
