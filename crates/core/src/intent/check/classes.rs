//! Validation of classes and their tiers.

use std::collections;

use super::super::Class;
use super::super::Intent;
use crate::findings;

/// Maximum latency target, in milliseconds.
const MAX_TARGET_MS: u64 = 600_000;

/// Maximum deadline of a request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Maximum floor, in percent of dispatches.
const MAX_FLOOR_PERCENT: u8 = 100;

pub(super) fn check(intent: &Intent, findings: &mut findings::Findings) {
    findings.require_unique(intent.classes.iter().map(|class| &class.name), |i| {
        format!("classes[{i}].name")
    });
    for (i, class) in intent.classes.iter().enumerate() {
        check_class(class, &format!("classes[{i}]"), findings);
    }
    check_tiers(intent, findings);
}

fn check_class(class: &Class, path: &str, findings: &mut findings::Findings) {
    findings.require_name(&class.name, format_args!("{path}.name"));
    let first_token = format!("{path}.first_token_ms");
    findings.require_milliseconds(class.first_token, 1..=MAX_TARGET_MS, first_token);
    findings.require_milliseconds(
        class.token_gap,
        0..=MAX_TARGET_MS,
        format!("{path}.token_gap_ms"),
    );
    findings.require_milliseconds(
        class.deadline,
        1..=MAX_DEADLINE_MS,
        format!("{path}.deadline_ms"),
    );
    findings.require_consistent(
        class.deadline >= class.first_token,
        format_args!("{path}.deadline_ms"),
        format!("at least {path}.first_token_ms"),
    );
    let floor = format!("{path}.floor_percent");
    findings.require(class.floor_percent <= MAX_FLOOR_PERCENT, &floor, "0 to 100 percent");
    findings.require(
        class.tier == 0 || class.floor_percent > 0,
        &floor,
        "at least 1 percent below tier 0, so that the class never starves",
    );
}

/// Requires that the tiers are consecutive from 0.
fn check_tiers(intent: &Intent, findings: &mut findings::Findings) {
    let tiers: collections::BTreeSet<_> = intent.classes.iter().map(|class| class.tier).collect();
    let first_gap =
        (0..).zip(&tiers).find_map(|(expected, tier)| (expected != *tier).then_some(expected));
    let Some(gap) = first_gap else {
        return;
    };
    for (i, class) in intent.classes.iter().enumerate() {
        let path = format!("classes[{i}].tier");
        findings.require(class.tier < gap, path, format!("tiers without a gap; none is {gap}"));
    }
}
