//! The state machine of one process that competes for a lease.

use smallvec::SmallVec;
use tokio::time;

use crate::ids;
use crate::lease;
use crate::store;

/// Most attempts whose fate is unknown that are remembered; an own row of a forgotten attempt is
/// watched like a stranger's.
const MAX_SENT: usize = 8;

/// One process that competes for a lease; see the [module](crate::lease) for promise and limits.
///
/// The caller carries one call at a time: after [`lease::Action::Read`] or
/// [`lease::Action::Write`] it feeds the result, with [`store::WriteOutcome::Unknown`] when no answer
/// came in time.
#[derive(Clone, Debug)]
pub struct Lease {
    node: ids::NodeId,
    incarnation: ids::Incarnation,
    terms: lease::Timing,
    call: Call,
    seen: Option<Seen>,
    held: Option<Held>,
    sent: SmallVec<[Sent; MAX_SENT]>,
    renewals: u64,
    next_look: Option<time::Instant>,
    paused_until: Option<time::Instant>,
    resigned_at: Option<time::Instant>,
}

/// The call under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    None,
    Read,
    Write,
}

/// A stranger's row and since when it has been unchanged.
#[derive(Clone, Debug)]
struct Seen {
    version: ids::RowVersion,
    row: Option<lease::LeaseRow>,
    since: time::Instant,
}

/// The lease while the row is ours.
#[derive(Clone, Debug)]
struct Held {
    version: ids::RowVersion,
    fence: ids::FencingToken,
    counted: time::Instant,
    acts_from: time::Instant,
}

/// A write whose fate is not known yet.
#[derive(Clone, Debug)]
struct Sent {
    renewals: u64,
    fence: ids::FencingToken,
    at: time::Instant,
    acts_from: time::Instant,
    releases: bool,
}

impl Lease {
    /// A candidate for the lease.
    #[must_use]
    pub fn new(
        node: impl Into<ids::NodeId>,
        incarnation: ids::Incarnation,
        terms: lease::Timing,
    ) -> Self {
        Self {
            node: node.into(),
            incarnation,
            terms,
            call: Call::None,
            seen: None,
            held: None,
            sent: SmallVec::new(),
            renewals: 0,
            next_look: None,
            paused_until: None,
            resigned_at: None,
        }
    }

    /// The fencing number under which an effect may be sent at once, or none.
    ///
    /// Ask right before each send, and give the send no longer than
    /// [`lease::Timing::send_deadline`].
    #[must_use]
    pub fn fencing_token(&self, now: time::Instant) -> Option<ids::FencingToken> {
        let held = self.held.as_ref()?;
        let allowed = self.resigned_at.is_none()
            && now >= held.acts_from
            && now < held.counted + self.terms.validity();
        allowed.then_some(held.fence)
    }

    /// Until when [`Lease::fencing_token`] can allow anything unless the lease is renewed.
    #[must_use]
    pub fn valid_until(&self) -> Option<time::Instant> {
        self.held.as_ref().map(|held| held.counted + self.terms.validity())
    }

    /// The version of the row while it is ours; a transaction that checks it can be applied only
    /// as long as no one else took the lease.
    #[must_use]
    pub fn row_version(&self) -> Option<ids::RowVersion> {
        self.held.as_ref().map(|held| held.version)
    }

    /// The holder as last read from the row, ourselves included.
    #[must_use]
    pub fn holder(&self) -> Option<&str> {
        if self.held.is_some() {
            return Some(&self.node);
        }
        let row = self.seen.as_ref()?.row.as_ref()?;
        (!row.is_released()).then_some(row.holder.as_str())
    }

    /// Takes in what happened and tells what to do next.
    pub fn handle(&mut self, event: lease::Event, now: time::Instant) -> lease::Action {
        match event {
            lease::Event::Tick => {}
            lease::Event::Resign => self.resigned_at = self.resigned_at.or(Some(now)),
            lease::Event::ReadDone(stored) => self.on_read(stored, now),
            lease::Event::ReadFailed => self.on_failure(now),
            lease::Event::WriteDone(outcome) => self.on_wrote(outcome, now),
        }
        self.next(now)
    }

    /// The row was read.
    fn on_read(&mut self, stored: store::VersionedRow<lease::LeaseRow>, now: time::Instant) {
        self.call = Call::None;
        if self.adopt(&stored) {
            return;
        }
        if self.row_version() == Some(stored.version) {
            self.next_look = Some(now + self.retry_pause());
            return;
        }
        self.held = None;
        self.next_look = Some(now + self.terms.interval);
        let unchanged = self.seen.as_ref().is_some_and(|seen| seen.version == stored.version);
        if !unchanged {
            // Writes that were sent before required an older version: none can be applied now.
            self.sent.clear();
            self.seen = Some(Seen { version: stored.version, row: stored.value, since: now });
        }
    }

    /// Takes over the result of an own write whose answer was lost; whether there was one.
    fn adopt(&mut self, stored: &store::VersionedRow<lease::LeaseRow>) -> bool {
        let Some(row) = &stored.value else { return false };
        let found = self.sent.iter().find(|sent| self.row_of(sent) == *row).cloned();
        let Some(sent) = found else { return false };
        self.apply(&sent, stored.version);
        true
    }

    /// A write of ours is in the row.
    fn apply(&mut self, sent: &Sent, version: ids::RowVersion) {
        self.sent.clear();
        self.seen = None;
        self.next_look = Some(sent.at + self.terms.interval);
        self.held = (!sent.releases).then_some(Held {
            version,
            fence: sent.fence,
            counted: sent.at,
            acts_from: sent.acts_from,
        });
    }

    /// The write was answered, or not.
    fn on_wrote(&mut self, outcome: store::WriteOutcome, now: time::Instant) {
        self.call = Call::None;
        match outcome {
            store::WriteOutcome::Applied(version) => {
                if let Some(sent) = self.sent.last().cloned() {
                    self.apply(&sent, version);
                }
            }
            store::WriteOutcome::Refused => {
                self.sent.pop();
                self.on_failure(now);
            }
            store::WriteOutcome::Conflict | store::WriteOutcome::Unknown => self.next_look = None,
        }
    }

    /// A call failed; leave the service alone for a moment.
    fn on_failure(&mut self, now: time::Instant) {
        self.call = Call::None;
        self.paused_until = Some(now + self.retry_pause());
    }

    /// Pause before a call that failed is tried again.
    fn retry_pause(&self) -> time::Duration {
        self.terms.interval / 4
    }

    /// What to do now.
    fn next(&mut self, now: time::Instant) -> lease::Action {
        if self.call != Call::None {
            return lease::Action::Pending;
        }
        if let Some(until) = self.paused_until.filter(|until| now < *until) {
            return lease::Action::Wait(until);
        }
        // At the start, after a conflict and after a lost answer the row tells.
        let Some(look) = self.next_look else { return self.read() };
        if let Some(at) = self.resigned_at {
            return self.release(at, look, now);
        }
        if self.held.is_some() {
            return if now < look { lease::Action::Wait(look) } else { self.renew(now) };
        }
        if let Some(action) = self.take(now) {
            return action;
        }
        if now >= look { self.read() } else { lease::Action::Wait(self.wake(look)) }
    }

    /// When a candidate must look again.
    fn wake(&self, look: time::Instant) -> time::Instant {
        let ripe = self.seen.as_ref().map(|seen| seen.since + self.terms.takeover_delay());
        ripe.map_or(look, |ripe| ripe.min(look))
    }

    fn read(&mut self) -> lease::Action {
        self.call = Call::Read;
        lease::Action::Read
    }

    /// Writes the next renewal.
    fn renew(&mut self, now: time::Instant) -> lease::Action {
        let Some(held) = self.held.clone() else { return self.read() };
        self.write(held.version, held.fence, now, held.acts_from, false)
    }

    /// Takes the row if it has been unchanged for long enough or was given up.
    fn take(&mut self, now: time::Instant) -> Option<lease::Action> {
        let seen = self.seen.as_ref()?;
        let released = seen.row.as_ref().is_some_and(lease::LeaseRow::is_released);
        let ripe = seen.since + self.terms.takeover_delay();
        if !released && now < ripe {
            return None;
        }
        let acts_from = if released { now } else { ripe + self.terms.send_deadline };
        let fence = seen.row.as_ref().map_or(0, |row| row.fence) + 1;
        Some(self.write(seen.version, fence, now, acts_from, false))
    }

    /// Gives the row up once every send that was allowed has passed its deadline.
    fn release(
        &mut self,
        at: time::Instant,
        look: time::Instant,
        now: time::Instant,
    ) -> lease::Action {
        let Some(held) = self.held.clone() else { return lease::Action::Resigned };
        let free = at + self.terms.send_deadline;
        let free = if self.sent.is_empty() { free } else { free.max(look) };
        if now < free {
            return lease::Action::Wait(free);
        }
        self.write(held.version, held.fence, now, held.acts_from, true)
    }

    /// Remembers the write and asks for it.
    fn write(
        &mut self,
        version: ids::RowVersion,
        fence: ids::FencingToken,
        at: time::Instant,
        acts_from: time::Instant,
        releases: bool,
    ) -> lease::Action {
        self.renewals += 1;
        if self.sent.len() == MAX_SENT {
            self.sent.remove(0);
        }
        let sent = Sent { renewals: self.renewals, fence, at, acts_from, releases };
        let row = self.row_of(&sent);
        self.sent.push(sent);
        self.call = Call::Write;
        lease::Action::Write { version, row }
    }

    /// The row that an attempt writes.
    fn row_of(&self, sent: &Sent) -> lease::LeaseRow {
        lease::LeaseRow {
            holder: if sent.releases { ids::NodeId::new() } else { self.node.clone() },
            incarnation: self.incarnation,
            fence: sent.fence,
            renewals: sent.renewals,
        }
    }
}
