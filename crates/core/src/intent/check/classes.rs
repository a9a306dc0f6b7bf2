//! Checks of classes and their tiers.

use std::collections;

use super::super::Class;
use super::super::Intent;
use crate::findings;

/// Longest latency target, in milliseconds.
const MAX_TARGET_MS: u64 = 600_000;

/// Longest deadline of a request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Largest floor, in percent of dispatches.
const MAX_FLOOR: u8 = 100;

pub(super) fn check(intent: &Intent, findings: &mut findings::Findings) {
    findings
        .unique(intent.classes.iter().map(|class| &class.name), |i| format!("classes[{i}].name"));
    for (i, class) in intent.classes.iter().enumerate() {
        check_class(class, &format!("classes[{i}]"), findings);
    }
    check_tiers(intent, findings);
}

fn check_class(class: &Class, path: &str, findings: &mut findings::Findings) {
    findings.name(&class.name, format_args!("{path}.name"));
    let first_token = format!("{path}.first_token_ms");
    findings.milliseconds(class.first_token, 1..=MAX_TARGET_MS, first_token);
    findings.milliseconds(class.token_gap, 0..=MAX_TARGET_MS, format!("{path}.token_gap_ms"));
    findings.milliseconds(class.deadline, 1..=MAX_DEADLINE_MS, format!("{path}.deadline_ms"));
    findings.agree(
        class.deadline >= class.first_token,
        format_args!("{path}.deadline_ms"),
        format!("at least {path}.first_token_ms"),
    );
    let floor = format!("{path}.floor_percent");
    findings.require(class.floor_percent <= MAX_FLOOR, &floor, "0 to 100 percent");
    findings.require(
        class.tier == 0 || class.floor_percent > 0,
        &floor,
        "at least 1 percent below tier 0, so that the class never starves",
    );
}

/// Requires that the tiers in use count from 0 without a gap.
fn check_tiers(intent: &Intent, findings: &mut findings::Findings) {
    let tiers: collections::BTreeSet<_> = intent.classes.iter().map(|class| class.tier).collect();
    let Some(gap) = (0..).zip(&tiers).find_map(|(want, tier)| (want != *tier).then_some(want))
    else {
        return;
    };
    for (i, class) in intent.classes.iter().enumerate() {
        let path = format!("classes[{i}].tier");
        findings.require(class.tier < gap, path, format!("tiers without a gap; none is {gap}"));
    }
}
