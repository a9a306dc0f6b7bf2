//! Reports usage while this gateway holds the lease for it.
//!
//! Before a report is sent it is stored in a row, in a transaction that requires that the lease is
//! still held. Any later lease holder resends the stored bytes, so a window never has two different
//! reports.

use std::cmp;
use std::collections;
use std::rc;
use std::time::Duration;

use azuregap_coordination::ids as lease_ids;
use azuregap_coordination::lease;
use azuregap_coordination::store as lease_store;
use azuregap_core::ids;
use tokio::time;

use super::usage_reporter;
use super::usage_rows;
use crate::codec;
use crate::decision::candidacy;
use crate::decision::report_readiness;
use crate::decision::usage_counts;
use crate::state;
use crate::store;

/// Maximum gateways listed in a log line about counts, those silent for longest first.
const MAX_LOGGED_GATEWAYS: usize = 40;

/// Interval at which the lease and due reports are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for one call to the store or the billing endpoint.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Number of windows after which stored reports are deleted.
const RETAINED_REPORTS: u64 = 12;

/// Competes for the lease and reports usage while holding it; never returns.
pub async fn run(
    state: rc::Rc<state::State>,
    store: rc::Rc<store::Store>,
    reporter: usage_reporter::UsageReporter,
    incarnation: ids::Incarnation,
) {
    let terms = lease::Timing::new(state.settings.lease_duration);
    let mut task = ReportingTask {
        // The addresses of this VM were bound before, so no earlier process of it is running.
        lease: lease::Lease::new(state.settings.node.clone(), incarnation, terms).succeeds_itself(),
        event: lease::Event::Tick,
        rejected_fence: None,
        lease_readable: true,
        held_since: None,
        reported: collections::BTreeSet::new(),
        stored: collections::BTreeMap::new(),
        era_notice: None,
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
    /// Since when this gateway has held the lease without a break.
    held_since: Option<time::Instant>,
    /// Windows whose report was acknowledged.
    reported: collections::BTreeSet<u64>,
    /// Reports that this process stored or found stored, by window; the store may lose them.
    stored: collections::BTreeMap<u64, Vec<u8>>,
    era_notice: Option<usage_rows::EraNotice>,
    state: rc::Rc<state::State>,
    store: rc::Rc<store::Store>,
    reporter: usage_reporter::UsageReporter,
}

impl ReportingTask {
    /// Executes the next action of the lease state machine; sends due reports while it waits.
    async fn step(&mut self) {
        let now = self.state.clock.now();
        self.lease.observe_era(*self.state.store_era.borrow());
        if !self.competes(now) && self.lease.row_version().is_none() {
            return time::sleep(TICK_INTERVAL).await;
        }
        if self.state.is_stopping() && self.event == lease::Event::Tick {
            self.event = lease::Event::Resign;
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
        let now = self.state.clock.now();
        let after = self.lease.fencing_token(now);
        if before != after {
            tracing::info!(before, after, holder = self.lease.holder(), "lease for usage reports");
        }
        self.publish_holding(now);
    }

    /// Tells the other tasks whether this gateway holds the lease; they start to collect the counts
    /// before it may act.
    fn publish_holding(&mut self, now: time::Instant) {
        let is_held = self.lease.valid_until().is_some_and(|until| now < until);
        let fence = self.lease.held_fence().filter(|_| is_held && !self.state.is_stopping());
        let changed = self
            .state
            .reporting
            .send_if_modified(|reporting| std::mem::replace(reporting, fence) != fence);
        if changed {
            self.held_since = fence.map(|_| now);
        }
    }

    /// Whether this gateway competes for the lease. A stopping one releases it instead, so that its
    /// successor need not wait until it expires.
    fn competes(&self, now: time::Instant) -> bool {
        if self.state.is_stopping() {
            return false;
        }
        let reachable = self.state.freshness.borrow().reachable_for(now);
        let peers = self.state.peers.borrow();
        let standing = peers.standing(&self.state.settings.node, reachable, now);
        candidacy::competes(standing, peers.news_delay())
    }

    /// Logs when the lease row becomes unreadable or readable again.
    fn log_reachability(&mut self) {
        let reached = self.event != lease::Event::ReadFailed;
        if reached != self.lease_readable {
            tracing::info!(reached, "lease row reachability changed");
        }
        self.lease_readable = reached;
    }

    async fn read_lease(&mut self) -> lease::Event {
        let progress = store::start_progress(CALL_TIMEOUT);
        let read = (self.store.read)(store::Table::Usage, progress);
        match time::timeout(CALL_TIMEOUT, read).await {
            Ok(Ok(rows)) if self.observe_era(rows.era) => lease::Event::ReadFailed,
            Ok(Ok(rows)) => {
                self.era_notice = usage_rows::find_era_notice(&rows).or(self.era_notice);
                lease::Event::ReadDone(usage_rows::decode_lease(&rows))
            }
            Ok(Err(error)) => {
                tracing::debug!(reason = error.to_string(), "failed to read the lease row");
                lease::Event::ReadFailed
            }
            Err(_) => lease::Event::ReadFailed,
        }
    }

    async fn write_lease(
        &mut self,
        version: lease_ids::RowVersion,
        row: lease::LeaseRow,
    ) -> lease::Event {
        let commit = store::Commit {
            table: store::Table::Usage,
            writes: vec![usage_rows::lease_write(version, &row)],
            preconditions: Vec::new(),
        };
        let result = time::timeout(CALL_TIMEOUT, (self.store.commit)(commit)).await;
        let outcome = match result {
            Ok(Ok(receipt)) if self.observe_era(receipt.era) => lease_store::WriteOutcome::Unknown,
            Ok(Ok(receipt)) => lease_store::WriteOutcome::Applied(receipt.version),
            Ok(Err(store::StoreError::Conflict(_))) => lease_store::WriteOutcome::Conflict,
            Ok(Err(store::StoreError::Rejected(_))) => lease_store::WriteOutcome::Refused,
            Ok(Err(_)) | Err(_) => lease_store::WriteOutcome::Unknown,
        };
        if !matches!(outcome, lease_store::WriteOutcome::Applied(_)) {
            tracing::info!(?outcome, version, "lease row write not confirmed");
        }
        lease::Event::WriteDone(outcome)
    }

    /// Records the era in a response of the store; returns whether it is older than the known one,
    /// so that what the response says may be lost.
    fn observe_era(&mut self, era: lease_ids::Era) -> bool {
        let is_older = self.state.observe_era(era);
        self.lease.observe_era(*self.state.store_era.borrow());
        is_older
    }

    /// When the current era was noticed, as recorded in the store; zero if the store states no era.
    /// The holder that finds no record of it writes one.
    async fn era_noticed_at(&mut self, now: Duration) -> Option<Duration> {
        let era = *self.state.store_era.borrow();
        if era == 0 {
            return Some(Duration::ZERO);
        }
        if let Some(notice) = self.era_notice.filter(|notice| notice.era == era) {
            return Some(notice.noticed);
        }
        let notice = usage_rows::EraNotice { era, noticed: now };
        let commit = store::Commit {
            table: store::Table::Usage,
            writes: vec![usage_rows::era_write(&notice)],
            preconditions: vec![(usage_rows::LEASE_KEY.to_owned(), self.lease.row_version()?)],
        };
        let written = time::timeout(CALL_TIMEOUT, (self.store.commit)(commit)).await;
        let receipt = written.ok()?.ok()?;
        let is_older = self.observe_era(receipt.era);
        self.era_notice = Some(notice).filter(|_| !is_older && receipt.era == era);
        self.era_notice.map(|notice| notice.noticed)
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
        let monotonic = self.state.clock.now();
        let now = self.state.median_clock.borrow().time_at(monotonic);
        let deadline =
            self.state.settings.report_deadline.saturating_sub(Duration::from_millis(300));
        let newest = usage_counts::window_at(now, length);
        let oldest =
            usage_counts::window_at(now.saturating_sub(deadline), length).saturating_sub(1);
        let gateways = self.state.gateway_count();
        let Some(era_noticed) = self.era_noticed_at(now).await else { return };
        for number in oldest..newest {
            let window = usage_counts::EndedWindow::new(number, length, now);
            let is_due = window.ended <= deadline && !self.reported.contains(&number);
            if !is_due || !report_readiness::is_settled(window.ended, gateways, deadline) {
                continue;
            }
            let is_lost = report_readiness::may_be_lost(window.end, era_noticed, deadline);
            if is_lost && !self.stored.contains_key(&number) {
                continue;
            }
            let progress = report_readiness::Progress {
                ended: window.ended,
                collecting: self.collecting(monotonic),
                missing: self.missing_counts(&window, monotonic).len(),
            };
            if !report_readiness::may_freeze(progress, gateways, deadline) {
                continue;
            }
            let Some(body) = self.store_report(&window).await else { return };
            self.stored.insert(number, body.clone());
            let Some(fence) = self.current_fence() else { return };
            self.send(number, body, fence).await;
        }
        self.reported.retain(|window| window + RETAINED_REPORTS > newest);
        self.stored.retain(|window, _| window + RETAINED_REPORTS > newest);
    }

    /// For how long this gateway has collected the counts as the reporter.
    fn collecting(&self, now: time::Instant) -> Duration {
        self.held_since.map(|at| now.saturating_duration_since(at)).unwrap_or_default()
    }

    /// Gateways that may have counts of a window which are not known here.
    fn missing_counts(
        &self,
        window: &usage_counts::EndedWindow,
        now: time::Instant,
    ) -> Vec<ids::NodeId> {
        let peers = self.state.peers.borrow();
        let missing = peers.missing_counts(window, self.collecting(now), now);
        missing.into_iter().map(str::to_owned).collect()
    }

    async fn send(&mut self, window: u64, body: Vec<u8>, fence: ids::Fence) {
        let report = codec::UsageReport { window, body, fence };
        let sent = time::timeout(CALL_TIMEOUT, (self.reporter.send)(report)).await;
        let sent = sent.unwrap_or_else(|_| {
            Err(usage_reporter::ReportError::Unacknowledged("no response in time".to_owned()))
        });
        match sent {
            Ok(()) => {
                tracing::info!(window, fence, "usage reported");
                self.reported.insert(window);
            }
            Err(error) => {
                tracing::warn!(window, fence, reason = error.to_string(), "usage not reported");
                if error == usage_reporter::ReportError::Fenced {
                    self.rejected_fence = Some(fence);
                }
            }
        }
    }

    /// Stores the report of a window and returns it, or the one that a gateway has stored before.
    async fn store_report(&self, ended: &usage_counts::EndedWindow) -> Option<Vec<u8>> {
        let window = ended.number;
        let version = self.lease.row_version()?;
        let body = self.stored.get(&window).cloned();
        let body =
            body.unwrap_or_else(|| (self.state.codec.encode_usage)(window, &self.counts(window)));
        let commit = store::Commit {
            table: store::Table::Usage,
            writes: vec![
                usage_rows::report_write(window, body.clone()),
                usage_rows::report_removal(window.saturating_sub(RETAINED_REPORTS)),
            ],
            preconditions: vec![(usage_rows::LEASE_KEY.to_owned(), version)],
        };
        match time::timeout(CALL_TIMEOUT, (self.store.commit)(commit)).await {
            Ok(Ok(_)) => {
                self.log_stored_counts(ended);
                Some(body)
            }
            Ok(Err(store::StoreError::Conflict(rows))) => {
                let key = usage_rows::report_key(window);
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
    fn log_stored_counts(&self, ended: &usage_counts::EndedWindow) {
        let now = self.state.clock.now();
        let window = ended.number;
        let mut missing = self.missing_counts(ended, now);
        let peers = self.state.peers.borrow();
        let mut own = collections::BTreeMap::new();
        self.state.usage_counts.borrow().add_to(window, &mut own);
        let counted: Vec<_> = peers.counts().sums(window).filter(|(_, sum)| *sum > 0).collect();
        let mut ages = peers.last_heard_ages(now);
        let gateways = counted.len() + 1;
        ages.sort_unstable_by_key(|(_, age)| cmp::Reverse(*age));
        ages.truncate(MAX_LOGGED_GATEWAYS);
        tracing::info!(
            window,
            ended_ms = ended.ended.as_millis() as u64,
            own = own.values().sum::<u64>(),
            gateways,
            others = ?counted.iter().take(MAX_LOGGED_GATEWAYS).collect::<Vec<_>>(),
            heard_ms = ?ages,
            "counts frozen"
        );
        if !missing.is_empty() {
            let count = missing.len();
            missing.truncate(MAX_LOGGED_GATEWAYS);
            tracing::warn!(
                window,
                count,
                ?missing,
                "the usage report lacks counts of gateways that did not send them in time"
            );
        }
    }

    /// Requests of each team in a window, summed over all gateways.
    fn counts(&self, window: u64) -> Vec<codec::TeamCount> {
        let mut sum = collections::BTreeMap::new();
        self.state.usage_counts.borrow().add_to(window, &mut sum);
        self.state.peers.borrow().counts().add_to(window, &mut sum);
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
