//! Backend servers that were ordered and are not in the list of VMs.

use std::collections;
use std::time;

use azuregap_core::ids;
use azuregap_platform::vms;
use tokio::time::Instant;

use crate::orders;

/// How long a backend server that was seen may be missing from the list of VMs.
const MISSING_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// How long a backend server that was ordered may take to appear in the list of VMs.
const STARTUP_TIMEOUT: time::Duration = time::Duration::from_secs(600);

/// Remembers since when this process watches and when it last saw each backend server.
#[derive(Clone, Debug, Default)]
pub(super) struct AbsenceTracker {
    since: Option<Instant>,
    seen: collections::HashMap<ids::BackendId, Instant>,
}

impl AbsenceTracker {
    /// Takes a list of VMs.
    pub(super) fn observe(&mut self, list: &vms::VmList, now: Instant) {
        self.since.get_or_insert(now);
        for vm in &list.vms {
            self.seen.insert(vm.name.clone(), now);
        }
        self.seen.retain(|_, seen| now.duration_since(*seen) < STARTUP_TIMEOUT);
    }

    /// Whether the backend server has not been listed for long.
    pub(super) fn is_missing(&self, backend: &str, now: Instant) -> bool {
        let last = self.seen.get(backend).copied().or(self.since);
        last.is_some_and(|last| now.duration_since(last) >= MISSING_TIMEOUT)
    }

    /// Backend servers that were ordered and are gone or never came: they are stopped, so that
    /// they cost nothing. `seconds` is the present time since the Unix epoch.
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
