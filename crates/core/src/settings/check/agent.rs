//! Validation of an agent's settings.

use std::ops;

use super::super::AgentSettings;
use super::WINDOW_S;
use super::check_addresses;
use super::check_reachable;
use super::check_url;
use super::platform;
use crate::findings;
use crate::intent;

/// Allowed number of queued requests.
const QUEUE_REQUESTS: ops::RangeInclusive<u32> = 1..=100_000;

/// Allowed heartbeat interval, in milliseconds.
const HEARTBEAT_MS: ops::RangeInclusive<u64> = 10..=30_000;

/// Allowed retention time of a run, in milliseconds.
const KEEP_MS: ops::RangeInclusive<u64> = 100..=3_600_000;

impl AgentSettings {
    /// Returns every fault in the settings; empty if they are valid.
    #[must_use]
    pub fn check(&self) -> Vec<intent::Fault> {
        let mut findings = findings::Findings::default();
        for (path, name) in [("node", &self.node), ("zone", &self.zone), ("pool", &self.pool)] {
            findings.require_name(name, path);
        }
        findings.require_backend_name(&self.backend, "backend");
        check_url("engine", &self.engine, &mut findings);
        let addresses = [("listen", self.listen), ("control", self.control)];
        check_addresses(&addresses, &mut findings);
        for (path, address) in addresses {
            check_reachable(path, address, &mut findings);
        }
        platform::check(&self.platform, &mut findings);
        findings.require(self.slots > 0, "slots", "at least 1 request at once");
        findings.require(QUEUE_REQUESTS.contains(&self.queue), "queue", "1 to 100000 requests");
        findings.require_milliseconds(self.heartbeat, HEARTBEAT_MS, "heartbeat_ms");
        findings.require_milliseconds(self.keep, KEEP_MS, "keep_ms");
        findings.require_consistent(
            self.keep > self.heartbeat,
            "keep_ms",
            "longer than heartbeat_ms",
        );
        findings.require_seconds(self.window, WINDOW_S, "window_s");
        findings.into_faults()
    }
}
