//! Limits that backend servers name: how many requests they take from all gateways together.
//!
//! A backend server in need names in its responses how many requests a second it takes, for as long
//! as it says so. A limit belongs to one run of the server. It changes with each response that names
//! another one and ends with a response that names none. Responses overtake each other: one whose
//! request was sent before the newest statement came neither raises nor ends the limit. Gateways tell
//! each other what they heard, with its age.
//!
//! A limit is a few requests a second, so it can't be divided by all gateways: their parts would be
//! smaller than a request, and each would still send a first one. [`HOLDERS`] of the known gateways,
//! chosen by rendezvous hashing for each server, use an equal share; the others send it nothing.
//! In a span `t`, a holder sends no more than its share of `limit * t`, and the places that it has
//! saved up: those of a second, or one. Together these are at most `limit * t`, and `limit` or
//! [`HOLDERS`] more.
//!
//! This needs no agreement on who is alive. A gateway uses a share only in the standing
//! [`Counted`](membership::Standing::Counted) for [`WINDOW`]: each other one that uses a share has
//! counted it for so long. So of all gateways that use a share of one limit within a window, each
//! knows all others, and each is among the first [`HOLDERS`] of a set that includes all of them.
//! Hence there are at most [`HOLDERS`] of them, however they start, end, freeze, are cut off or are
//! added. A gateway that has just started waits until the use of the process before it has left the
//! window. One that isn't counted, or whose read of the list of gateways is no longer valid, sends a
//! limited server nothing. The share of a holder that is lost isn't used until the list drops it.
//!
//! This answers backend servers in need while gateways come and go, in fleets of any size.
//!
//! ```
//! use azuregap_gateway::decision::backend_limit;
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let mut limits = backend_limit::BackendLimits::default();
//! let limit = backend_limit::NamedLimit::from_rate(2.0);
//! let statement = backend_limit::Statement { limit, sent_at: now, heard_at: now };
//! let change = limits.record(7, 1, &statement, now);
//! assert_eq!(change, Some(backend_limit::Change::Named(2.0)));
//! assert!(!limits.try_send(7, 1, || Some(0.5), now));
//! assert!(limits.try_send(7, 1, || Some(0.5), now + time::Duration::from_secs(1)));
//! ```

mod change;
mod named_limit;
mod place;
mod run;
mod saved_limit;
mod statement;
mod told_limit;
mod unsaved;

use std::collections;
use std::ops;
use std::time::Duration;

use tokio::time;

use super::holder;
use super::membership;
pub use change::Change;
pub use named_limit::NamedLimit;
pub use place::Place;
pub use saved_limit::SavedLimit;
pub use statement::Statement;
pub use told_limit::ToldLimit;
pub use unsaved::Unsaved;

/// Gateways that send to one backend server with a limit.
pub const HOLDERS: usize = 3;

/// Span over which the use of a limit is bounded.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Maximum number of backend servers whose limits are remembered.
const MAX_RUNS: usize = 16_384;

/// Time after a change in which each message tells it.
const TELL_CHANGE: Duration = Duration::from_secs(3);

/// Maximum changes in one message.
const MAX_CHANGES: usize = 8;

/// Other limits in one message, in turn.
const TOLD_IN_TURN: usize = 2;

/// Time for which the end of a limit is told.
const TELL_END: Duration = Duration::from_secs(600);

/// Longest time for which a message may be on its way. What another gateway heard within that time
/// after this one doesn't count as newer.
const TRANSIT: Duration = Duration::from_millis(250);

/// Age of a saved limit from which on it is obsolete; a server that still names it has told the
/// gateways by then.
const MAX_SAVED_AGE: Duration = Duration::from_secs(3_600);

/// Age of what a saved limit states: anything that was heard counts as newer.
const SAVED_AGE: Duration = Duration::from_secs(600);

/// Share of a backend server's limit that the gateway `node` may use beside `others`, which are all
/// gateways that it knows; `None` if it may use none.
#[must_use]
pub fn share<'a>(
    backend: u32,
    node: &str,
    others: impl Iterator<Item = &'a str> + Clone,
    standing: membership::Standing,
) -> Option<f64> {
    holder::share(backend, HOLDERS, node, others, standing)
}

/// Limits of the newest known runs of backend servers, by the hash of the server's id.
#[derive(Debug, Default)]
pub struct BackendLimits {
    runs: collections::BTreeMap<u32, run::Run>,
    /// The last backend server that was told in turn.
    told: u32,
}

impl BackendLimits {
    /// Records what a run of a backend server, which started at `started_ms`, said about its limit.
    pub fn record(
        &mut self,
        backend: u32,
        started_ms: u64,
        statement: &Statement,
        now: time::Instant,
    ) -> Option<Change> {
        let known = self.runs.get(&backend).map(|run| run.started_ms);
        let is_new = known.is_none_or(|known| known < started_ms);
        let names_none = statement.limit == NamedLimit::None;
        if known.is_some_and(|known| known > started_ms) || (known.is_none() && names_none) {
            return None;
        }
        if is_new {
            self.make_room(backend);
            self.runs.insert(backend, run::Run::new(started_ms, statement.sent_at));
        }
        self.runs.get_mut(&backend)?.record(statement, now)
    }

    /// Records what another gateway tells.
    pub fn record_told(&mut self, told: &ToldLimit, now: time::Instant) -> Option<Change> {
        let statement = Statement {
            limit: told.limit.map_or(NamedLimit::None, NamedLimit::from_rate),
            sent_at: now.checked_sub(told.sent_age.saturating_add(TRANSIT))?,
            heard_at: now.checked_sub(told.heard_age)?,
        };
        self.record(told.backend_hash, told.started_ms, &statement, now)
    }

    /// Takes over a limit that the store has, if nothing is known about the run.
    pub fn record_saved(&mut self, saved: &SavedLimit, now: time::Instant) -> Option<Change> {
        let known = self.runs.get(&saved.backend_hash).map(|run| run.started_ms);
        let mut change = None;
        if known.is_none_or(|known| known < saved.started_ms) {
            let at = now.checked_sub(SAVED_AGE)?;
            let limit = NamedLimit::from_rate(saved.limit);
            let statement = Statement { limit, sent_at: at, heard_at: at };
            change = self.record(saved.backend_hash, saved.started_ms, &statement, now);
        }
        let run = self.runs.get_mut(&saved.backend_hash)?;
        run.is_saved |= run.started_ms == saved.started_ms;
        change
    }

    /// Whether a saved limit isn't needed any more: it is old, or of an earlier run.
    #[must_use]
    pub fn is_obsolete(&self, saved: &SavedLimit, now: Duration) -> bool {
        let known = self.runs.get(&saved.backend_hash);
        now.saturating_sub(saved.saved_at) > MAX_SAVED_AGE
            || known.is_some_and(|run| run.started_ms > saved.started_ms)
    }

    /// What has to be saved or removed from the store by this gateway, for the backend servers that
    /// it sends to.
    pub fn unsaved(&self, is_holder: impl Fn(u32) -> bool) -> Vec<Unsaved> {
        let runs = self
            .runs
            .iter()
            .filter(|(backend, run)| run.limit.is_some() != run.is_saved && is_holder(**backend));
        let unsaved = |(backend, run): (&u32, &run::Run)| Unsaved {
            backend_hash: *backend,
            started_ms: run.started_ms,
            limit: run.limit,
        };
        runs.map(unsaved).collect()
    }

    /// Records that the store has confirmed a write.
    pub fn mark_saved(&mut self, unsaved: &Unsaved) {
        let run = self.runs.get_mut(&unsaved.backend_hash);
        if let Some(run) = run.filter(|run| run.started_ms == unsaved.started_ms) {
            run.is_saved = unsaved.limit.is_some();
        }
    }

    /// Records that the store may have lost all of them.
    pub fn forget_saved(&mut self) {
        self.runs.values_mut().for_each(|run| run.is_saved = false);
    }

    /// What the next message tells the other gateways: the newest changes, and some other limits in
    /// turn, so that a gateway that missed a change learns of it.
    pub fn tell(&mut self, now: time::Instant) -> Vec<ToldLimit> {
        let age = |at: time::Instant| now.saturating_duration_since(at);
        let mut changed: Vec<_> =
            self.runs.iter().filter(|(_, run)| age(run.changed_at) < TELL_CHANGE).collect();
        changed.sort_unstable_by_key(|(_, run)| age(run.changed_at));
        changed.truncate(MAX_CHANGES);
        let after = (ops::Bound::Excluded(self.told), ops::Bound::Unbounded);
        let in_turn = self.runs.range(after).chain(self.runs.range(..=self.told));
        let is_told =
            |(_, run): &(&u32, &run::Run)| run.limit.is_some() || age(run.changed_at) < TELL_END;
        let in_turn: Vec<_> = in_turn.filter(is_told).take(TOLD_IN_TURN).collect();
        let last = in_turn.last().map(|(backend, _)| **backend);
        changed.extend(in_turn);
        changed.sort_unstable_by_key(|(backend, _)| **backend);
        changed.dedup_by_key(|(backend, _)| **backend);
        let told = |(backend, run): (&u32, &run::Run)| ToldLimit {
            backend_hash: *backend,
            started_ms: run.started_ms,
            limit: run.limit,
            sent_age: age(run.sent_at),
            heard_age: age(run.heard_at),
        };
        let limits = changed.into_iter().map(told).collect();
        self.told = last.unwrap_or(self.told);
        limits
    }

    /// Whether a gateway may send a request to a run of a backend server. `share` is the share of the
    /// limit that it uses, see [`share`]; it is asked for only if there is a limit.
    pub fn place(
        &mut self,
        backend: u32,
        started_ms: u64,
        share: impl FnOnce() -> Option<f64>,
        now: time::Instant,
    ) -> Place {
        let run = self.runs.get_mut(&backend).filter(|run| run.started_ms == started_ms);
        run.map_or(Place::Unlimited, |run| run.place(share, now))
    }

    /// Takes a place for a request that is sent now; returns whether it may be sent.
    pub fn try_send(
        &mut self,
        backend: u32,
        started_ms: u64,
        share: impl FnOnce() -> Option<f64>,
        now: time::Instant,
    ) -> bool {
        let place = self.place(backend, started_ms, share, now);
        if let Place::Limited { wait: Duration::ZERO, .. } = place
            && let Some(run) = self.runs.get_mut(&backend)
        {
            run.take_place();
        }
        place.is_free()
    }

    /// Requests per second that a run of a backend server takes; `None` if it names no limit.
    #[must_use]
    pub fn limit(&self, backend: u32, started_ms: u64) -> Option<f64> {
        self.runs.get(&backend).filter(|run| run.started_ms == started_ms)?.limit
    }

    /// Whether no limit is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Number of backend servers that name a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        self.runs.values().filter(|run| run.limit.is_some()).count()
    }

    /// Forgets a run whose limit has ended, or else the one that has changed last long ago.
    fn make_room(&mut self, backend: u32) {
        if self.runs.len() < MAX_RUNS || self.runs.contains_key(&backend) {
            return;
        }
        let order = |(_, run): &(&u32, &run::Run)| (run.limit.is_some(), run.changed_at);
        if let Some(oldest) = self.runs.iter().min_by_key(order).map(|(backend, _)| *backend) {
            self.runs.remove(&oldest);
        }
    }
}
