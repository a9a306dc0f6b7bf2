//! Checks of an agent's settings.

use std::ops;

use super::super::AgentSettings;
use super::WINDOW_S;
use super::check_addresses;
use super::check_reachable;
use super::check_url;
use super::platform;
use crate::findings;
use crate::intent;

/// Requests that may wait.
const QUEUE: ops::RangeInclusive<u32> = 1..=100_000;

/// Time between two heartbeats, in milliseconds.
const HEARTBEAT_MS: ops::RangeInclusive<u64> = 10..=30_000;

/// Time a run is kept, in milliseconds.
const KEEP_MS: ops::RangeInclusive<u64> = 100..=3_600_000;

impl AgentSettings {
    /// Every fault of the settings; empty when they are sound.
    #[must_use]
    pub fn check(&self) -> Vec<intent::Fault> {
        let mut findings = findings::Findings::default();
        for (path, name) in [("node", &self.node), ("zone", &self.zone), ("pool", &self.pool)] {
            findings.name(name, path);
        }
        findings.backend(&self.backend, "backend");
        check_url("engine", &self.engine, &mut findings);
        let addresses = [("listen", self.listen), ("control", self.control)];
        check_addresses(&addresses, &mut findings);
        for (path, address) in addresses {
            check_reachable(path, address, &mut findings);
        }
        platform::check(&self.platform, &mut findings);
        findings.require(self.slots > 0, "slots", "at least 1 request at once");
        findings.require(QUEUE.contains(&self.queue), "queue", "1 to 100000 requests");
        findings.milliseconds(self.heartbeat, HEARTBEAT_MS, "heartbeat_ms");
        findings.milliseconds(self.keep, KEEP_MS, "keep_ms");
        findings.agree(self.keep > self.heartbeat, "keep_ms", "longer than heartbeat_ms");
        findings.seconds(self.window, WINDOW_S, "window_s");
        findings.into_faults()
    }
}
