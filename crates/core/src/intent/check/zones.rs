//! Validation of availability zones and their spending limits.

use super::super::Intent;
use super::super::Zone;
use crate::findings;

pub(super) fn check(intent: &Intent, findings: &mut findings::Findings) {
    findings
        .require_unique(intent.zones.iter().map(|zone| &zone.name), |i| format!("zones[{i}].name"));
    for (i, zone) in intent.zones.iter().enumerate() {
        check_zone(zone, &format!("zones[{i}]"), findings);
    }
}

fn check_zone(zone: &Zone, path: &str, findings: &mut findings::Findings) {
    findings.require_name(&zone.name, format_args!("{path}.name"));
    findings.require_name(&zone.region, format_args!("{path}.region"));
    let price = format!("{path}.price");
    findings.require(zone.price > 0, price, "at least 1 millionth of the currency unit an hour");
    findings.require(
        zone.spend == 0 || zone.spend >= zone.price,
        format_args!("{path}.spend"),
        format!("0, or at least {path}.price; both are millionths of the currency unit an hour"),
    );
}
