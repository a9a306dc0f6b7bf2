//! Reports usage while this gateway holds the lease for it.
//!
//! A window's counts are frozen in a row before they are sent, under the condition that the lease
//! is still held. Whoever holds the lease later sends the frozen bytes again.

use std::cmp;
use std::collections;
use std::fmt;
use std::rc;
use std::time::Duration;

use azuregap_coordination::ids as lease_ids;
use azuregap_coordination::lease;
use azuregap_coordination::store as lease_store;
use azuregap_core::ids;
use futures::future;
use quick_error::quick_error;
use tokio::time;

use crate::codec;
use crate::decision::gossip_timing;
use crate::decision::usage_counts;
use crate::peers;
use crate::state;
use crate::store;

/// Key of the lease row.
const LEASE_KEY: &str = "usage-lease";

/// Start of the keys of frozen reports.
const REPORT_PREFIX: &str = "usage-report-";

/// Gateways that a line on counts names, the longest silent first.
const MOST_NAMED: usize = 40;

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(250);

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Frozen reports older than this many windows are removed.
const KEPT_REPORTS: u64 = 12;

quick_error! {
    /// Why a report was not taken.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ReportError {
        /// A higher fencing number was seen: another gateway is in charge.
        Fenced {
            display("6501: a higher fencing number was seen")
        }
        /// The report may or may not have arrived.
        Failed(reason: String) {
            display("6502: the report was not acknowledged: {}", reason)
        }
    }
}

type Send =
    Box<dyn Fn(codec::UsageReport) -> future::LocalBoxFuture<'static, Result<(), ReportError>>>;

/// Sends a report to whoever bills.
pub struct Report {
    /// Sends one report and waits for its acknowledgement.
    pub send: Send,
}

impl fmt::Debug for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Report").finish_non_exhaustive()
    }
}

/// Competes for the lease and reports while it is held, for ever.
pub async fn run(
    state: rc::Rc<state::State>,
    store: rc::Rc<store::Store>,
    report: Report,
    incarnation: ids::Incarnation,
) {
    let terms = lease::Timing::new(state.settings.lease);
    let mut duty = Duty {
        lease: lease::Lease::new(state.settings.node.clone(), incarnation, terms),
        event: lease::Event::Tick,
        fenced: None,
        reached: true,
        done: collections::BTreeSet::new(),
        state,
        store,
        report,
    };
    loop {
        duty.step().await;
    }
}

struct Duty {
    lease: lease::Lease,
    event: lease::Event,
    /// Fencing number that was refused.
    fenced: Option<ids::Fence>,
    /// Whether the lease was read when it was tried last.
    reached: bool,
    /// Windows that were reported.
    done: collections::BTreeSet<u64>,
    state: rc::Rc<state::State>,
    store: rc::Rc<store::Store>,
    report: Report,
}

impl Duty {
    /// Carries out what the lease asks for, then what is due.
    async fn step(&mut self) {
        let now = self.state.clock.now();
        let node = &self.state.settings.node;
        let competes = self.state.peers.borrow().is_among_first(node, peers::REPORTER_COUNT, now);
        if !competes && self.lease.row_version().is_none() {
            return time::sleep(TICK).await;
        }
        let before = self.lease.fencing_token(now);
        let event = std::mem::replace(&mut self.event, lease::Event::Tick);
        match self.lease.handle(event, now) {
            lease::Action::Read => {
                self.event = self.read_lease().await;
                self.log_reach();
            }
            lease::Action::Write { version, row } => {
                self.event = self.write_lease(version, row).await;
            }
            lease::Action::Wait(until) => {
                self.report_due().await;
                let now = self.state.clock.now();
                time::sleep(until.saturating_duration_since(now).min(TICK)).await;
            }
            lease::Action::Pending | lease::Action::Resigned => time::sleep(TICK).await,
        }
        let after = self.lease.fencing_token(self.state.clock.now());
        if before != after {
            tracing::info!(before, after, holder = self.lease.holder(), "lease for usage reports");
        }
    }

    /// Writes a line when the lease can no longer be read, or again.
    fn log_reach(&mut self) {
        let reached = self.event != lease::Event::ReadFailed;
        if reached != self.reached {
            tracing::info!(reached, "the lease row");
        }
        self.reached = reached;
    }

    async fn read_lease(&self) -> lease::Event {
        let read = (self.store.read)(store::Table::Duties);
        match time::timeout(CALL_TIMEOUT, read).await {
            Ok(Ok(rows)) => lease::Event::ReadDone(lease_row(&rows)),
            Ok(Err(error)) => {
                tracing::debug!(reason = error.to_string(), "the lease was not read");
                lease::Event::ReadFailed
            }
            Err(_) => lease::Event::ReadFailed,
        }
    }

    async fn write_lease(
        &self,
        version: lease_ids::RowVersion,
        row: lease::LeaseRow,
    ) -> lease::Event {
        let data = serde_json::to_vec(&row).expect("a lease row can always be encoded");
        let write =
            store::Write { key: LEASE_KEY.to_owned(), data: Some(data), expect: Some(version) };
        let commit =
            store::Commit { table: store::Table::Duties, writes: vec![write], guards: Vec::new() };
        let result = time::timeout(CALL_TIMEOUT, (self.store.commit)(commit)).await;
        let outcome = match result {
            Ok(Ok(version)) => lease_store::WriteOutcome::Applied(version),
            Ok(Err(store::StoreError::Conflict(_))) => lease_store::WriteOutcome::Conflict,
            Ok(Err(store::StoreError::Refused(_))) => lease_store::WriteOutcome::Refused,
            Ok(Err(_)) | Err(_) => lease_store::WriteOutcome::Unknown,
        };
        if !matches!(outcome, lease_store::WriteOutcome::Applied(_)) {
            tracing::info!(?outcome, version, "the lease was not written");
        }
        lease::Event::WriteDone(outcome)
    }

    /// Fencing number under which a report may be sent now.
    fn fence(&self) -> Option<ids::Fence> {
        let fence = self.lease.fencing_token(self.state.clock.now())?;
        (self.fenced != Some(fence)).then_some(fence)
    }

    /// Reports the windows that ended and are still wanted.
    async fn report_due(&mut self) {
        if self.fence().is_none() {
            return;
        }
        let length = self.state.settings.window;
        let now = self.state.true_time.borrow().time_at(self.state.clock.now());
        let due = self.state.settings.report_due.saturating_sub(Duration::from_millis(300));
        let settle = gossip_timing::settle_delay(self.state.gateways(), due);
        let newest = usage_counts::window_at(now.saturating_sub(settle), length);
        let oldest = usage_counts::window_at(now.saturating_sub(due), length).saturating_sub(1);
        for window in oldest..newest {
            let end = length * u32::try_from(window + 1).unwrap_or(u32::MAX);
            if self.done.contains(&window) || now.saturating_sub(end) > due {
                continue;
            }
            let Some(body) = self.freeze(window).await else { return };
            let Some(fence) = self.fence() else { return };
            self.send(window, body, fence).await;
        }
        self.done.retain(|done| done + KEPT_REPORTS > newest);
    }

    async fn send(&mut self, window: u64, body: Vec<u8>, fence: ids::Fence) {
        let report = codec::UsageReport { window, body, fence };
        let sent = time::timeout(CALL_TIMEOUT, (self.report.send)(report)).await;
        let sent =
            sent.unwrap_or_else(|_| Err(ReportError::Failed("no answer in time".to_owned())));
        match sent {
            Ok(()) => {
                tracing::info!(window, fence, "usage reported");
                self.done.insert(window);
            }
            Err(error) => {
                tracing::warn!(window, fence, reason = error.to_string(), "usage not reported");
                if error == ReportError::Fenced {
                    self.fenced = Some(fence);
                }
            }
        }
    }

    /// The counts of a window as they are, or were by another gateway, frozen in the store.
    async fn freeze(&self, window: u64) -> Option<Vec<u8>> {
        let version = self.lease.row_version()?;
        let body = (self.state.codec.usage)(window, &self.counts(window));
        let write = |window: u64, data, expect| store::Write {
            key: format!("{REPORT_PREFIX}{window}"),
            data,
            expect,
        };
        let commit = store::Commit {
            table: store::Table::Duties,
            writes: vec![
                write(window, Some(body.clone()), Some(0)),
                write(window.saturating_sub(KEPT_REPORTS), None, None),
            ],
            guards: vec![(LEASE_KEY.to_owned(), version)],
        };
        match time::timeout(CALL_TIMEOUT, (self.store.commit)(commit)).await {
            Ok(Ok(_)) => {
                self.log_frozen(window);
                Some(body)
            }
            Ok(Err(store::StoreError::Conflict(rows))) => {
                let key = format!("{REPORT_PREFIX}{window}");
                rows.into_iter().find(|row| row.key == key).and_then(|row| row.data)
            }
            Ok(Err(error)) => {
                tracing::info!(window, reason = error.to_string(), "counts were not frozen");
                None
            }
            Err(_) => None,
        }
    }

    /// Writes the line on frozen counts and where they come from.
    fn log_frozen(&self, window: u64) {
        let peers = self.state.peers.borrow();
        let now = self.state.clock.now();
        let mut own = collections::BTreeMap::new();
        self.state.windows.borrow().add_to(window, &mut own);
        let (counted, mut ages) = (peers.counts_by_peer(window), peers.last_heard_ages(now));
        let gateways = counted.len() + 1;
        ages.sort_unstable_by_key(|(_, age)| cmp::Reverse(*age));
        ages.truncate(MOST_NAMED);
        tracing::info!(
            window,
            own = own.values().sum::<u64>(),
            gateways,
            others = ?counted.iter().take(MOST_NAMED).collect::<Vec<_>>(),
            heard_ms = ?ages,
            "counts frozen"
        );
    }

    /// The counts of all gateways in a window, by team.
    fn counts(&self, window: u64) -> Vec<codec::TeamCount> {
        let mut sum = collections::BTreeMap::new();
        self.state.windows.borrow().add_to(window, &mut sum);
        self.state.peers.borrow().add_counts(window, &mut sum);
        let teams = self.state.teams.borrow();
        let named = |(hash, count): (usage_counts::TeamHash, u64)| {
            let name = teams.get(&hash).cloned();
            if name.is_none() {
                tracing::warn!(window, hash, count, "counts of a team that is not known");
            }
            name.map(|name| (name, count))
        };
        sum.into_iter().filter_map(named).collect()
    }
}

fn lease_row(rows: &store::Rows) -> lease_store::VersionedRow<lease::LeaseRow> {
    let Some(row) = rows.rows.iter().find(|row| row.key == LEASE_KEY) else {
        return lease_store::VersionedRow::absent();
    };
    let value = row.data.as_deref().and_then(|data| {
        serde_json::from_slice(data)
            .inspect_err(|error| {
                tracing::error!(reason = error.to_string(), "the lease row can't be read");
            })
            .ok()
    });
    lease_store::VersionedRow { version: row.version, value }
}
