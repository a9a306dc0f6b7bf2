//! Detects ordered backend servers that are missing from the VM list.

use std::collections;
use std::time;

use azuregap_core::ids;
use azuregap_platform::vms;
use tokio::time::Instant;

use crate::orders;

/// How long a backend server that was listed before may be missing from the VM list.
const MISSING_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// How long an ordered backend server may take to appear in the VM list.
const STARTUP_TIMEOUT: time::Duration = time::Duration::from_secs(600);

/// Tracks when this process first read a VM list and when each backend server was last listed.
#[derive(Clone, Debug, Default)]
pub(super) struct AbsenceTracker {
    since: Option<Instant>,
    seen: collections::HashMap<ids::BackendId, Instant>,
}

impl AbsenceTracker {
    /// Records the backend servers of a VM list.
    pub(super) fn observe(&mut self, list: &vms::VmList, now: Instant) {
        self.since.get_or_insert(now);
        for vm in &list.vms {
            self.seen.insert(vm.name.clone(), now);
        }
        self.seen.retain(|_, seen| now.duration_since(*seen) < STARTUP_TIMEOUT);
    }

    /// Whether the backend server has been missing for [`MISSING_TIMEOUT`].
    pub(super) fn is_missing(&self, backend: &str, now: Instant) -> bool {
        let last = self.seen.get(backend).copied().or(self.since);
        last.is_some_and(|last| now.duration_since(last) >= MISSING_TIMEOUT)
    }

    /// Ordered backend servers that disappeared or never appeared. They are stopped so that they
    /// cause no cost. `seconds` is the current time in seconds since the Unix epoch.
    pub(super) fn lost_backends(
        &self,
        rows: &[(u64, orders::OrderRow)],
        seconds: u64,
        now: Instant,
    ) -> Vec<ids::BackendId> {
        let missing = |backend: &str| self.is_missing(backend, now);
        let late = |made: u64| seconds.saturating_sub(made) >= STARTUP_TIMEOUT.as_secs();
        let lost = |row: &&orders::OrderRow| match row.state {
            orders::OrderState::Open => false,
            orders::OrderState::Taken => late(row.made) && missing(&row.backend),
            orders::OrderState::Seen => missing(&row.backend),
        };
        let starts = rows.iter().map(|(_, row)| row).filter(|row| row.is_start());
        starts.filter(lost).map(|row| row.backend.clone()).collect()
    }
}
