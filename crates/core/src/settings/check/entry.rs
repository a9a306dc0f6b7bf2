//! Validation of an entry's settings.

use std::ops;

use super::super::EntrySettings;
use super::WINDOW_S;
use super::check_addresses;
use super::check_reachable;
use super::platform;
use crate::findings;
use crate::intent;
use crate::key;

/// Allowed number of threads that serve callers.
const WORKERS: ops::RangeInclusive<usize> = 1..=256;

/// Allowed idle time of a response stream before a resume, in milliseconds.
const SILENCE_MS: ops::RangeInclusive<u64> = 50..=60_000;

/// Allowed limit on the age of the configuration, in milliseconds.
const MAX_STALE_MS: ops::RangeInclusive<u64> = 100..=60_000;

impl EntrySettings {
    /// Returns every fault in the settings; empty if they are valid.
    #[must_use]
    pub fn check(&self) -> Vec<intent::Fault> {
        let mut findings = findings::Findings::default();
        findings.require_name(&self.node, "node");
        findings.require_name(&self.zone, "zone");
        let addresses =
            [("listen", self.listen), ("operators", self.operators), ("control", self.control)];
        check_addresses(&addresses, &mut findings);
        check_reachable("control", self.control, &mut findings);
        platform::check(&self.platform, &mut findings);
        check_operators(self, &mut findings);
        findings.require(WORKERS.contains(&self.workers), "workers", "1 to 256 threads");
        findings.require_milliseconds(self.silence, SILENCE_MS, "silence_ms");
        findings.require_milliseconds(self.max_stale, MAX_STALE_MS, "max_stale_ms");
        findings.require_seconds(self.window, WINDOW_S, "window_s");
        findings.into_faults()
    }
}

fn check_operators(settings: &EntrySettings, findings: &mut findings::Findings) {
    let keys = &settings.operator_keys;
    let expected = "at least one operator key: without one no intent can be confirmed";
    findings.require(!keys.is_empty(), "operator_keys", expected);
    findings
        .require_unique(keys.iter().map(|key| &key.name), |i| format!("operator_keys[{i}].name"));
    findings.require_unique(keys.iter().map(|key| key.digest), |i| {
        format!("operator_keys[{i}].digest")
    });
    for (i, operator) in keys.iter().enumerate() {
        findings.require_name(&operator.name, format_args!("operator_keys[{i}].name"));
        let empty = operator.digest.matches(&key::Digest::of(""));
        let path = format!("operator_keys[{i}].digest");
        findings.require(!empty, path, "not the digest of nothing");
    }
}
