//! Validation of teams and their keys.

use super::super::Intent;
use crate::findings;
use crate::key;

/// Maximum weight of a team.
const MAX_WEIGHT: u32 = 1_000_000;

pub(super) fn check(intent: &Intent, findings: &mut findings::Findings) {
    findings
        .require_unique(intent.teams.iter().map(|team| &team.name), |i| format!("teams[{i}].name"));
    for (i, team) in intent.teams.iter().enumerate() {
        findings.require_name(&team.name, format_args!("teams[{i}].name"));
        let valid = (1..=MAX_WEIGHT).contains(&team.weight);
        findings.require(valid, format_args!("teams[{i}].weight"), "1 to 1000000");
        let limit = "at least 1, or leave the field out for no limit";
        findings.require(team.rate != Some(0), format_args!("teams[{i}].rate"), limit);
        let valid = team.concurrency != Some(0);
        findings.require(valid, format_args!("teams[{i}].concurrency"), limit);
    }
    check_keys(intent, findings);
}

fn check_keys(intent: &Intent, findings: &mut findings::Findings) {
    findings.require_unique(intent.keys.iter().map(|grant| grant.digest), |i| {
        format!("keys[{i}].digest")
    });
    for (i, grant) in intent.keys.iter().enumerate() {
        let declared = intent.team(&grant.team).is_some();
        findings.require_declared(declared, format_args!("keys[{i}].team"), "team");
        let empty = grant.digest.matches(&key::Digest::of(""));
        findings.require(!empty, format_args!("keys[{i}].digest"), "not the digest of nothing");
    }
}
