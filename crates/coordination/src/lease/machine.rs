//! State machine of a lease candidate.

use smallvec::SmallVec;
use tokio::time;

use crate::ids;
use crate::lease;
use crate::store;

/// Maximum number of remembered writes with unknown outcome. If a discarded one turns out to be
/// applied, the row is treated like that of another holder.
const MAX_UNCONFIRMED: usize = 8;

/// Distance between the lowest fencing tokens of two eras: more than the row versions of an era.
const TOKENS_PER_ERA: ids::FencingToken = 1 << 32;

/// A candidate for a lease; see the [module](crate::lease) for guarantees and limits.
///
/// The caller runs one call at a time. After [`lease::Action::Read`] or [`lease::Action::Write`] it
/// feeds the result, or [`store::WriteOutcome::Unknown`] if a write timed out.
#[derive(Clone, Debug)]
pub struct Lease {
    node: ids::NodeId,
    incarnation: ids::Incarnation,
    timing: lease::Timing,
    /// Whether an earlier process of this node has ended.
    succeeds_itself: bool,
    /// Newest known era of the table service.
    era: ids::Era,
    /// Highest fencing token that this candidate has seen.
    highest_fence: ids::FencingToken,
    call: Call,
    observed: Option<ObservedRow>,
    held: Option<HeldLease>,
    unconfirmed: SmallVec<[UnconfirmedWrite; MAX_UNCONFIRMED]>,
    renewals: u64,
    next_call: Option<time::Instant>,
    paused_until: Option<time::Instant>,
    resigned_at: Option<time::Instant>,
}

/// The call in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    None,
    Read,
    Write,
}

/// The row of another holder and the time since which it has been unchanged.
#[derive(Clone, Debug)]
struct ObservedRow {
    version: ids::RowVersion,
    row: Option<lease::LeaseRow>,
    since: time::Instant,
}

/// The lease while this process holds it.
#[derive(Clone, Debug)]
struct HeldLease {
    version: ids::RowVersion,
    fence: ids::FencingToken,
    renewed_at: time::Instant,
    valid_from: time::Instant,
}

/// A write that has not been confirmed yet.
#[derive(Clone, Debug)]
struct UnconfirmedWrite {
    renewals: u64,
    fence: ids::FencingToken,
    sent_at: time::Instant,
    valid_from: time::Instant,
    is_release: bool,
}

impl Lease {
    /// Creates a candidate for the lease.
    #[must_use]
    pub fn new(
        node: impl Into<ids::NodeId>,
        incarnation: ids::Incarnation,
        timing: lease::Timing,
    ) -> Self {
        Self {
            node: node.into(),
            incarnation,
            timing,
            succeeds_itself: false,
            era: 0,
            highest_fence: 0,
            call: Call::None,
            observed: None,
            held: None,
            unconfirmed: SmallVec::new(),
            renewals: 0,
            next_call: None,
            paused_until: None,
            resigned_at: None,
        }
    }

    /// States that any earlier process of this node has ended, for example because this one could
    /// bind the same ports. The lease of such a process is then taken over without waiting for its
    /// term to expire.
    #[must_use]
    pub const fn succeeds_itself(mut self) -> Self {
        self.succeeds_itself = true;
        self
    }

    /// Records the era in a response of the table service; call it before the response is handled.
    ///
    /// In a newer era, writes of the older ones may be lost and their row versions are given out
    /// again. So this process gives up the lease and reads the row anew; a row of an older era is
    /// taken over only after the takeover delay, as its last holder may be unknown.
    pub fn observe_era(&mut self, era: ids::Era) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.held = None;
        self.observed = None;
        self.unconfirmed.clear();
        self.next_call = None;
    }

    /// The fencing token if this process may act now.
    ///
    /// Call it immediately before each send, and abort the send after
    /// [`lease::Timing::send_deadline`].
    #[must_use]
    pub fn fencing_token(&self, now: time::Instant) -> Option<ids::FencingToken> {
        let held = self.held.as_ref()?;
        let allowed = self.resigned_at.is_none()
            && now >= held.valid_from
            && now < held.renewed_at + self.timing.validity();
        allowed.then_some(held.fence)
    }

    /// Instant at which the lease expires unless it is renewed.
    #[must_use]
    pub fn valid_until(&self) -> Option<time::Instant> {
        self.held.as_ref().map(|held| held.renewed_at + self.timing.validity())
    }

    /// The fencing token of the row while this process holds the lease, also before it may act.
    #[must_use]
    pub fn held_fence(&self) -> Option<ids::FencingToken> {
        self.held.as_ref().map(|held| held.fence)
    }

    /// Version of the row while this process holds the lease. A transaction that requires this
    /// version is applied only if no other process has taken the lease over.
    #[must_use]
    pub fn row_version(&self) -> Option<ids::RowVersion> {
        self.held.as_ref().map(|held| held.version)
    }

    /// The last known holder, possibly this process.
    #[must_use]
    pub fn holder(&self) -> Option<&str> {
        if self.held.is_some() {
            return Some(&self.node);
        }
        let row = self.observed.as_ref()?.row.as_ref()?;
        (!row.is_released()).then_some(row.holder.as_str())
    }

    /// Handles `event` and returns the next action.
    pub fn handle(&mut self, event: lease::Event, now: time::Instant) -> lease::Action {
        match event {
            lease::Event::Tick => {}
            lease::Event::Resign => self.resigned_at = self.resigned_at.or(Some(now)),
            lease::Event::ReadDone(stored) => self.on_read(stored, now),
            lease::Event::ReadFailed => self.on_failure(now),
            lease::Event::WriteDone(outcome) => self.on_write_done(outcome, now),
        }
        self.next_action(now)
    }

    fn on_read(&mut self, stored: store::VersionedRow<lease::LeaseRow>, now: time::Instant) {
        self.call = Call::None;
        let fence = stored.value.as_ref().map_or(0, |row| row.fence);
        self.highest_fence = self.highest_fence.max(fence);
        if self.adopt_lost_write(&stored) {
            return;
        }
        if self.row_version() == Some(stored.version) {
            self.next_call = Some(now + self.retry_delay());
            return;
        }
        self.held = None;
        self.next_call = Some(now + self.timing.interval);
        let unchanged =
            self.observed.as_ref().is_some_and(|observed| observed.version == stored.version);
        if !unchanged {
            // Earlier writes required an older version, so none of them can be applied any more.
            self.unconfirmed.clear();
            self.observed =
                Some(ObservedRow { version: stored.version, row: stored.value, since: now });
        }
    }

    /// Completes an own write whose response was lost, if the row shows one. Returns whether it
    /// did.
    fn adopt_lost_write(&mut self, stored: &store::VersionedRow<lease::LeaseRow>) -> bool {
        let Some(row) = &stored.value else { return false };
        let found = self.unconfirmed.iter().find(|write| self.row_of(write) == *row).cloned();
        let Some(write) = found else { return false };
        self.on_applied(&write, stored.version);
        true
    }

    /// Handles an own write that was applied.
    fn on_applied(&mut self, write: &UnconfirmedWrite, version: ids::RowVersion) {
        self.unconfirmed.clear();
        self.observed = None;
        self.highest_fence = self.highest_fence.max(write.fence);
        self.next_call = Some(write.sent_at + self.timing.interval);
        self.held = (!write.is_release).then_some(HeldLease {
            version,
            fence: write.fence,
            renewed_at: write.sent_at,
            valid_from: write.valid_from,
        });
    }

    fn on_write_done(&mut self, outcome: store::WriteOutcome, now: time::Instant) {
        self.call = Call::None;
        match outcome {
            store::WriteOutcome::Applied(version) => {
                if let Some(write) = self.unconfirmed.last().cloned() {
                    self.on_applied(&write, version);
                }
            }
            store::WriteOutcome::Refused => {
                self.unconfirmed.pop();
                self.on_failure(now);
            }
            store::WriteOutcome::Conflict | store::WriteOutcome::Unknown => self.next_call = None,
        }
    }

    /// Pauses after a failed call.
    fn on_failure(&mut self, now: time::Instant) {
        self.call = Call::None;
        self.paused_until = Some(now + self.retry_delay());
    }

    /// Delay before a failed call is retried.
    fn retry_delay(&self) -> time::Duration {
        self.timing.interval / 4
    }

    /// Determines the next action.
    fn next_action(&mut self, now: time::Instant) -> lease::Action {
        if self.call != Call::None {
            return lease::Action::Pending;
        }
        if let Some(until) = self.paused_until.filter(|until| now < *until) {
            return lease::Action::Wait(until);
        }
        // The row must be read at the start, after a conflict and after a lost response.
        let Some(next_call) = self.next_call else { return self.read() };
        if let Some(resigned_at) = self.resigned_at {
            return self.release(resigned_at, next_call, now);
        }
        if self.held.is_some() {
            return if now < next_call { lease::Action::Wait(next_call) } else { self.renew(now) };
        }
        if let Some(action) = self.try_acquire(now) {
            return action;
        }
        if now >= next_call {
            self.read()
        } else {
            lease::Action::Wait(self.next_wakeup(next_call))
        }
    }

    /// When a candidate has to wake up: for the next read or at the end of the takeover delay.
    fn next_wakeup(&self, next_call: time::Instant) -> time::Instant {
        let takeover_at =
            self.observed.as_ref().map(|observed| observed.since + self.timing.takeover_delay());
        takeover_at.map_or(next_call, |takeover_at| takeover_at.min(next_call))
    }

    fn read(&mut self) -> lease::Action {
        self.call = Call::Read;
        lease::Action::Read
    }

    /// Renews the lease.
    fn renew(&mut self, now: time::Instant) -> lease::Action {
        let Some(held) = self.held.clone() else { return self.read() };
        self.write(held.version, held.fence, now, held.valid_from, false)
    }

    /// Acquires the lease if the row was released, has been unchanged for the takeover delay, or
    /// belongs to an earlier process of this node.
    fn try_acquire(&mut self, now: time::Instant) -> Option<lease::Action> {
        let observed = self.observed.as_ref()?;
        let row_era = observed.row.as_ref().map_or(0, |row| row.era);
        let is_latest = row_era >= self.era;
        let released = is_latest && observed.row.as_ref().is_some_and(lease::LeaseRow::is_released);
        let is_own = is_latest
            && self.succeeds_itself
            && observed.row.as_ref().is_some_and(|row| row.holder == self.node);
        let takeover_at = if is_own { now } else { observed.since + self.timing.takeover_delay() };
        if !released && now < takeover_at {
            return None;
        }
        let valid_from = if released { now } else { takeover_at + self.timing.send_deadline };
        let known = observed.row.as_ref().map_or(0, |row| row.fence).max(self.highest_fence);
        // The row may hide a higher token that was lost with the newest writes of an older era, or
        // that a process unaware of the new era has overwritten. Versions only grow in an era.
        let lowest = self.era * TOKENS_PER_ERA + observed.version;
        let fence = if self.era == 0 { known + 1 } else { lowest.max(known + 1) };
        Some(self.write(observed.version, fence, now, valid_from, false))
    }

    /// Releases the lease once the deadlines of all permitted sends have passed.
    fn release(
        &mut self,
        resigned_at: time::Instant,
        next_call: time::Instant,
        now: time::Instant,
    ) -> lease::Action {
        let Some(held) = self.held.clone() else { return lease::Action::Resigned };
        let release_at = resigned_at + self.timing.send_deadline;
        let release_at =
            if self.unconfirmed.is_empty() { release_at } else { release_at.max(next_call) };
        if now < release_at {
            return lease::Action::Wait(release_at);
        }
        self.write(held.version, held.fence, now, held.valid_from, true)
    }

    /// Records the write as unconfirmed and requests it.
    fn write(
        &mut self,
        version: ids::RowVersion,
        fence: ids::FencingToken,
        sent_at: time::Instant,
        valid_from: time::Instant,
        is_release: bool,
    ) -> lease::Action {
        self.renewals += 1;
        if self.unconfirmed.len() == MAX_UNCONFIRMED {
            self.unconfirmed.remove(0);
        }
        let write =
            UnconfirmedWrite { renewals: self.renewals, fence, sent_at, valid_from, is_release };
        let row = self.row_of(&write);
        self.unconfirmed.push(write);
        self.call = Call::Write;
        lease::Action::Write { version, row }
    }

    /// The row that `write` writes.
    fn row_of(&self, write: &UnconfirmedWrite) -> lease::LeaseRow {
        lease::LeaseRow {
            holder: if write.is_release { ids::NodeId::new() } else { self.node.clone() },
            incarnation: self.incarnation,
            fence: write.fence,
            renewals: write.renewals,
            era: self.era,
        }
    }
}
