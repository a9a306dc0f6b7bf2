//! Reports usage while this gateway holds the lease for it.
//!
//! Before a report is sent it is stored in a row, in a transaction that requires that the lease is
//! still held. Any later lease holder resends the stored bytes, so a window never has two different
//! reports.

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

/// Prefix of the keys of stored reports.
const REPORT_KEY_PREFIX: &str = "usage-report-";

/// Maximum gateways listed in a log line about counts, those silent for longest first.
const MAX_LOGGED_GATEWAYS: usize = 40;

/// Interval at which the lease and due reports are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for one call to the store or the billing endpoint.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Number of windows after which stored reports are deleted.
const RETAINED_REPORTS: u64 = 12;

quick_error! {
    /// Why a report was not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ReportError {
        /// The receiver has seen a higher fencing token: another gateway holds the lease.
        Fenced {
            display("6501: the receiver has seen a higher fencing token")
        }
        /// The report may or may not have arrived.
        Unacknowledged(reason: String) {
            display("6502: the report was not acknowledged: {}", reason)
        }
    }
}

type SendFn =
    Box<dyn Fn(codec::UsageReport) -> future::LocalBoxFuture<'static, Result<(), ReportError>>>;

/// Client of the service that receives usage reports.
pub struct UsageReporter {
    /// Sends one report and waits for its acknowledgement.
    pub send: SendFn,
}

impl fmt::Debug for UsageReporter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UsageReporter").finish_non_exhaustive()
    }
}

/// Competes for the lease and reports usage while holding it; never returns.
pub async fn run(
    state: rc::Rc<state::State>,
    store: rc::Rc<store::Store>,
    reporter: UsageReporter,
    incarnation: ids::Incarnation,
) {
    let terms = lease::Timing::new(state.settings.lease_duration);
    let mut task = ReportingTask {
        lease: lease::Lease::new(state.settings.node.clone(), incarnation, terms),
        event: lease::Event::Tick,
        rejected_fence: None,
        lease_readable: true,
        reported: collections::BTreeSet::new(),
        state,
        store,
        reporter,
    };
    loop {
        task.step().await;
    }
}

struct ReportingTask {
    lease: lease::Lease,
    event: lease::Event,
    /// Fencing token that the receiver rejected.
    rejected_fence: Option<ids::Fence>,
    /// Whether the last attempt to read the lease row succeeded.
    lease_readable: bool,
    /// Windows whose report was acknowledged.
    reported: collections::BTreeSet<u64>,
    state: rc::Rc<state::State>,
    store: rc::Rc<store::Store>,
    reporter: UsageReporter,
}

impl ReportingTask {
    /// Executes the next action of the lease state machine; sends due reports while it waits.
    async fn step(&mut self) {
        let now = self.state.clock.now();
        let node = &self.state.settings.node;
        let competes = self.state.peers.borrow().is_among_first(node, peers::REPORTER_COUNT, now);
        if !competes && self.lease.row_version().is_none() {
            return time::sleep(TICK_INTERVAL).await;
        }
        let before = self.lease.fencing_token(now);
        let event = std::mem::replace(&mut self.event, lease::Event::Tick);
        match self.lease.handle(event, now) {
            lease::Action::Read => {
                self.event = self.read_lease().await;
                self.log_reachability();
            }
            lease::Action::Write { version, row } => {
                self.event = self.write_lease(version, row).await;
            }
            lease::Action::Wait(until) => {
                self.send_due_reports().await;
                let now = self.state.clock.now();
                time::sleep(until.saturating_duration_since(now).min(TICK_INTERVAL)).await;
            }
            lease::Action::Pending | lease::Action::Resigned => time::sleep(TICK_INTERVAL).await,
        }
        let after = self.lease.fencing_token(self.state.clock.now());
        if before != after {
            tracing::info!(before, after, holder = self.lease.holder(), "lease for usage reports");
        }
    }

    /// Logs when the lease row becomes unreadable or readable again.
    fn log_reachability(&mut self) {
        let reached = self.event != lease::Event::ReadFailed;
        if reached != self.lease_readable {
            tracing::info!(reached, "lease row reachability changed");
        }
        self.lease_readable = reached;
    }

    async fn read_lease(&self) -> lease::Event {
        let read = (self.store.read)(store::Table::Usage);
        match time::timeout(CALL_TIMEOUT, read).await {
            Ok(Ok(rows)) => lease::Event::ReadDone(decode_lease_row(&rows)),
            Ok(Err(error)) => {
                tracing::debug!(reason = error.to_string(), "failed to read the lease row");
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
        let data = serde_json::to_vec(&row).expect("a lease row can be encoded as JSON");
        let write = store::Write {
            key: LEASE_KEY.to_owned(),
            data: Some(data),
            expected_version: Some(version),
        };
        let commit = store::Commit {
            table: store::Table::Usage,
            writes: vec![write],
            preconditions: Vec::new(),
        };
        let result = time::timeout(CALL_TIMEOUT, (self.store.commit)(commit)).await;
        let outcome = match result {
            Ok(Ok(version)) => lease_store::WriteOutcome::Applied(version),
            Ok(Err(store::StoreError::Conflict(_))) => lease_store::WriteOutcome::Conflict,
            Ok(Err(store::StoreError::Rejected(_))) => lease_store::WriteOutcome::Refused,
            Ok(Err(_)) | Err(_) => lease_store::WriteOutcome::Unknown,
        };
        if !matches!(outcome, lease_store::WriteOutcome::Applied(_)) {
            tracing::info!(?outcome, version, "lease row write not confirmed");
        }
        lease::Event::WriteDone(outcome)
    }

    /// Returns the fencing token under which a report may be sent now.
    fn current_fence(&self) -> Option<ids::Fence> {
        let fence = self.lease.fencing_token(self.state.clock.now())?;
        (self.rejected_fence != Some(fence)).then_some(fence)
    }

    /// Sends the reports of all windows that have ended and whose deadline has not passed.
    async fn send_due_reports(&mut self) {
        if self.current_fence().is_none() {
            return;
        }
        let length = self.state.settings.usage_window;
        let now = self.state.median_clock.borrow().time_at(self.state.clock.now());
        let deadline =
            self.state.settings.report_deadline.saturating_sub(Duration::from_millis(300));
        let settle = gossip_timing::settle_delay(self.state.gateway_count(), deadline);
        let newest = usage_counts::window_at(now.saturating_sub(settle), length);
        let oldest =
            usage_counts::window_at(now.saturating_sub(deadline), length).saturating_sub(1);
        for window in oldest..newest {
            let end = length * u32::try_from(window + 1).unwrap_or(u32::MAX);
            if self.reported.contains(&window) || now.saturating_sub(end) > deadline {
                continue;
            }
            let Some(body) = self.store_report(window).await else { return };
            let Some(fence) = self.current_fence() else { return };
            self.send(window, body, fence).await;
        }
        self.reported.retain(|window| window + RETAINED_REPORTS > newest);
    }

    async fn send(&mut self, window: u64, body: Vec<u8>, fence: ids::Fence) {
        let report = codec::UsageReport { window, body, fence };
        let sent = time::timeout(CALL_TIMEOUT, (self.reporter.send)(report)).await;
        let sent = sent
            .unwrap_or_else(|_| Err(ReportError::Unacknowledged("no response in time".to_owned())));
        match sent {
            Ok(()) => {
                tracing::info!(window, fence, "usage reported");
                self.reported.insert(window);
            }
            Err(error) => {
                tracing::warn!(window, fence, reason = error.to_string(), "usage not reported");
                if error == ReportError::Fenced {
                    self.rejected_fence = Some(fence);
                }
            }
        }
    }

    /// Stores the report of a window and returns it, or the one that a gateway has stored before.
    async fn store_report(&self, window: u64) -> Option<Vec<u8>> {
        let version = self.lease.row_version()?;
        let body = (self.state.codec.encode_usage)(window, &self.counts(window));
        let write = |window: u64, data, expected_version| store::Write {
            key: format!("{REPORT_KEY_PREFIX}{window}"),
            data,
            expected_version,
        };
        let commit = store::Commit {
            table: store::Table::Usage,
            writes: vec![
                write(window, Some(body.clone()), Some(0)),
                write(window.saturating_sub(RETAINED_REPORTS), None, None),
            ],
            preconditions: vec![(LEASE_KEY.to_owned(), version)],
        };
        match time::timeout(CALL_TIMEOUT, (self.store.commit)(commit)).await {
            Ok(Ok(_)) => {
                self.log_stored_counts(window);
                Some(body)
            }
            Ok(Err(store::StoreError::Conflict(rows))) => {
                let key = format!("{REPORT_KEY_PREFIX}{window}");
                rows.into_iter().find(|row| row.key == key).and_then(|row| row.data)
            }
            Ok(Err(error)) => {
                tracing::info!(
                    window,
                    reason = error.to_string(),
                    "failed to store the usage report"
                );
                None
            }
            Err(_) => None,
        }
    }

    /// Logs the counts in a stored report and the gateways that they come from.
    fn log_stored_counts(&self, window: u64) {
        let peers = self.state.peers.borrow();
        let now = self.state.clock.now();
        let mut own = collections::BTreeMap::new();
        self.state.usage_counts.borrow().add_to(window, &mut own);
        let (counted, mut ages) = (peers.counts_by_peer(window), peers.last_heard_ages(now));
        let gateways = counted.len() + 1;
        ages.sort_unstable_by_key(|(_, age)| cmp::Reverse(*age));
        ages.truncate(MAX_LOGGED_GATEWAYS);
        tracing::info!(
            window,
            own = own.values().sum::<u64>(),
            gateways,
            others = ?counted.iter().take(MAX_LOGGED_GATEWAYS).collect::<Vec<_>>(),
            heard_ms = ?ages,
            "counts frozen"
        );
    }

    /// Requests of each team in a window, summed over all gateways.
    fn counts(&self, window: u64) -> Vec<codec::TeamCount> {
        let mut sum = collections::BTreeMap::new();
        self.state.usage_counts.borrow().add_to(window, &mut sum);
        self.state.peers.borrow().add_counts(window, &mut sum);
        let teams = self.state.team_names.borrow();
        let named = |(hash, count): (usage_counts::TeamHash, u64)| {
            let name = teams.get(&hash).cloned();
            if name.is_none() {
                tracing::warn!(window, hash, count, "dropped the usage counts of an unknown team");
            }
            name.map(|name| (name, count))
        };
        sum.into_iter().filter_map(named).collect()
    }
}

fn decode_lease_row(rows: &store::Rows) -> lease_store::VersionedRow<lease::LeaseRow> {
    let Some(row) = rows.rows.iter().find(|row| row.key == LEASE_KEY) else {
        return lease_store::VersionedRow::absent();
    };
    let value = row.data.as_deref().and_then(|data| {
        serde_json::from_slice(data)
            .inspect_err(|error| {
                tracing::error!(reason = error.to_string(), "failed to decode the lease row");
            })
            .ok()
    });
    lease_store::VersionedRow { version: row.version, value }
}
