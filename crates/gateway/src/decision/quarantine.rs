//! Keeps requests away from backend servers that they crash.
//!
//! A prompt may hold a segment on which a model engine crashes, and a request may crash whichever
//! server runs it, together with all others that run there. A retry of such a request, and each new
//! one that is the same or has that segment, takes the next server down. So gateways remember the
//! *suspects* of a crash, tell each other, and reject requests that have part in one which was lost
//! too often and answered never since. The suspects of a request are its shared segments, and
//! itself: the digest of method, host, path, team and body.
//!
//! Most suspects are innocent. Three facts tell them apart:
//!
//! - An answer that began after a crash clears all suspects of its request: segments as soon as it
//!   has gone on for a while, the request itself when it is complete.
//! - A crash that another suspect was part of, which was lost as often, doesn't count against one.
//!   So a segment that always came with the guilty one is still answered without it. Nor does one count
//!   against what was answered all the time before, if what was never answered was part of it.
//! - Crashes at about the same moment may have a common cause, such as a power loss, and count once.
//!   A request that was sent after the crash before has no part in such a cause.
//!
//! # Bound
//!
//! A request that crashes each server which runs it is sent at most three times by gateways that
//! know of its third crash, over all gateways and their restarts:
//!
//! - With [`REJECT_CRASHES`] crashes that count it is rejected. With as many that don't all count,
//!   since others were lost as often or servers ended at the same moment, it is only sent in
//!   trials, and rejected after [`MAX_TRIED_CRASHES`] whatever else was lost. So two trials may be sent
//!   before it is rejected, and none after it beyond that number. This leaves out what was answered all
//!   the time until its first crash: that is rejected only for crashes that count.
//! - One gateway of all may send a trial in a turn, one send long, and each knows of the crash before
//!   the next turn ([`turn`]). It isn't sent by a gateway of which the others may not have heard.
//! - What is known outlives the processes: gateways tell each other, and those that took part save a
//!   request with [`SAVE_CRASHES`] crashes in the store.
//!
//! What the bound leaves out: trials that a server doesn't run, gateways that reach no other one, and
//! crashes that were noticed only by processes which ended before they told of them.
//!
//! A suspect that was answered before is tried in turns too, although it seems guilty: what crashes
//! servers is seldom answered first, and what many requests share would be missed for long.
//!
//! This handles requests that crash servers one after the other, at any rate and at any gateway, while
//! requests that share all but the guilty part with them go on.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::decision::quarantine;
//!
//! let mut quarantine = quarantine::Quarantine::new(0.0);
//! let prompt = [1, 66].map(quarantine::SuspectId::Segment);
//! for second in 1..=3 {
//!     let at = Duration::from_secs(second);
//!     assert!(quarantine.admit(&prompt, at).is_ok());
//!     let (backend_hash, started_ms) = (second as u32, 1);
//!     let crash = quarantine::Crash { backend_hash, started_ms, sent_at: at, at };
//!     quarantine.record_crash(&prompt, crash);
//!     let began_at = at + Duration::from_millis(1);
//!     quarantine.record_answer(&prompt[..1], began_at, began_at);
//! }
//! let rejection = quarantine.admit(&prompt, Duration::from_secs(4)).expect_err("rejected");
//! assert_eq!(rejection.suspect, quarantine::SuspectId::Segment(66));
//! assert!(quarantine.admit(&prompt[..1], Duration::from_secs(4)).is_ok());
//! ```

mod crash;
mod explanations;
mod judgement;
mod record;
mod rejection;
mod suspect;
mod telling;
pub mod turn;

use std::collections;
use std::time::Duration;

pub use crash::Crash;
pub use record::MAX_CRASHES;
pub use rejection::Admission;
pub use rejection::Rejection;
pub use suspect::SegmentCrash;
pub use suspect::SegmentSuspect;
pub use suspect::Suspect;
pub use suspect::SuspectId;
pub use suspect::Suspects;
pub use telling::MAX_TOLD;

/// Crashes without an answer since after which requests with a suspect are rejected.
pub const REJECT_CRASHES: usize = 3;

/// Crashes without an answer since from which on a request is rejected whatever else was lost, and a
/// suspect gets no trial before its hold ends.
pub const MAX_TRIED_CRASHES: usize = 5;

/// Crashes without an answer since after which a request that lost its backend server is not
/// retried.
const RETRY_CRASHES: usize = 2;

/// Crashes of a request from which on it is saved in the store.
pub const SAVE_CRASHES: usize = 2;

/// An answer that goes on for this long after its first event shows that its prompt is sound. One that
/// is lost earlier counts as lost before its first event.
pub const PROBATION: Duration = Duration::from_millis(250);

/// Time after the last crash for which requests with a suspect are rejected; then trials are sent,
/// since the backend servers may have been mended.
const HOLD: Duration = Duration::from_secs(600);

/// Time for which a backend server may go on with a request that was given up.
const LINGER: Duration = Duration::from_secs(3);

/// Maximum number of requests that were given up and may still crash their backend servers.
const MAX_WITHDRAWALS: usize = 256;

/// Maximum number of suspects that are remembered: more than a prompt has segments whose names fit into
/// a head of 16 KiB.
const MAX_SUSPECTS: usize = 2_048;

/// Maximum number of segments whose last answer is remembered.
const MAX_ANSWERS: usize = 4 * MAX_SUSPECTS;

/// Suspects that were part of crashes, and which of them are kept from backend servers.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: collections::HashMap<SuspectId, record::Record>,
    /// Beginning of the last answer of segments that were answered here.
    answers: collections::HashMap<SuspectId, crash::TimeOfDay>,
    /// Where requests were given up that may still crash their backend servers.
    withdrawals: Vec<(SuspectId, Crash)>,
    hold: Duration,
    /// Number of messages that were built.
    messages: usize,
}

impl Quarantine {
    /// Creates an empty quarantine. `spread` is from 0 to 1 and differs between gateways, so that
    /// they don't all send a trial at the same time.
    #[must_use]
    pub fn new(spread: f64) -> Self {
        Self { hold: HOLD.mul_f64(1.0 + spread), ..Self::default() }
    }

    /// Whether any whole request is suspected, so that the digests of others matter.
    #[must_use]
    pub fn suspects_requests(&self) -> bool {
        self.records.iter().any(|(id, record)| id.is_request() && !record.crashes.is_empty())
    }

    /// Number of crashes of a suspect since its last answer.
    #[must_use]
    pub fn crashes(&self, id: &SuspectId) -> usize {
        self.records.get(id).map_or(0, |record| record.crashes.len())
    }

    /// Whether a run of a backend server is known to have ended, by a crash with a suspect.
    #[must_use]
    pub fn has_ended(&self, backend_hash: u32, started_ms: u64) -> bool {
        let is_run =
            |crash: &Crash| (crash.backend_hash, crash.started_ms) == (backend_hash, started_ms);
        self.records.values().any(|record| record.crashes.iter().any(is_run))
    }

    /// Records that the backend server of a request with these suspects ended before the request was
    /// answered; returns whether this is news for the other gateways.
    pub fn record_crash(&mut self, suspects: &[SuspectId], crash: Crash) -> bool {
        let mut is_news = false;
        self.make_room(suspects.iter().copied(), crash.at);
        // The request itself comes last in the list, and is in need of a place first.
        for id in suspects.iter().rev() {
            let Some(record) = self.record_mut(*id, crash.at) else { continue };
            record.is_own = true;
            let forget = record::forget_after(id, record.crashes.len());
            if record.add(crash, forget) {
                record.changed_at = crash.at;
                is_news = true;
            }
        }
        is_news | self.add_withdrawn(&crash)
    }

    /// Records that a request with a suspect was given up at a backend server; the server may go on
    /// with it and crash. The time of the crash is when the request was given up.
    pub fn record_withdrawal(&mut self, id: SuspectId, at: Crash) {
        self.withdrawals.retain(|(_, earlier)| at.at.saturating_sub(earlier.at) < LINGER);
        if self.withdrawals.len() < MAX_WITHDRAWALS {
            self.withdrawals.push((id, at));
        }
    }

    /// Adds a crash to the suspects whose requests were given up at the same backend server just
    /// before; returns whether this is news. Without it those that were lost there would seem to
    /// have crashed more servers than the cause.
    fn add_withdrawn(&mut self, crash: &Crash) -> bool {
        let mut is_news = false;
        for (id, given_up) in &self.withdrawals {
            if !given_up.is_same_run(crash) || crash.at.saturating_sub(given_up.at) >= LINGER {
                continue;
            }
            let Some(record) = self.records.get_mut(id) else { continue };
            let crash = Crash { sent_at: given_up.sent_at, ..*crash };
            if record.add(crash, record::forget_after(id, record.crashes.len())) {
                record.changed_at = crash.at;
                is_news = true;
            }
        }
        is_news
    }

    /// Remembers when a suspect was last answered, before its first crash is recorded.
    pub fn remember_answer(&mut self, id: SuspectId, began_at: crash::TimeOfDay) {
        if !self.records.contains_key(&id) {
            self.answers.insert(id, began_at);
        }
    }

    /// Records that an answer to a request with these suspects, which began at `began_at`, cleared
    /// them; returns whether this is news for the other gateways.
    pub fn record_answer(
        &mut self,
        suspects: &[SuspectId],
        began_at: crash::TimeOfDay,
        now: crash::TimeOfDay,
    ) -> bool {
        if self.answers.len() + suspects.len() > MAX_ANSWERS {
            self.answers.clear();
        }
        let mut is_news = false;
        for id in suspects {
            if !id.is_request() {
                let answered_at = self.answers.entry(*id).or_default();
                *answered_at = began_at.max(*answered_at);
            }
            let record = self.records.get_mut(id);
            if let Some(record) = record.filter(|record| !record.crashes.is_empty())
                && record.clear(began_at)
            {
                record.changed_at = now;
                is_news = true;
            }
        }
        is_news
    }

    /// Adds what another gateway tells; returns whether it is news.
    pub fn merge(&mut self, told: &[Suspect], now: crash::TimeOfDay) -> bool {
        let mut is_news = false;
        self.make_room(told.iter().map(|suspect| suspect.id), now);
        for suspect in told {
            let Some(record) = self.record_mut(suspect.id, now) else { continue };
            let mut is_changed = record.clear(suspect.answered_at.min(now));
            let mut is_outdated = false;
            for crash in &suspect.crashes {
                // A crash in the future could not be cleared by an answer.
                let crash = Crash { at: crash.at.min(now), ..*crash };
                let forget = record::forget_after(&suspect.id, record.crashes.len());
                is_changed |= record.add(crash, forget);
                is_outdated |= crash.at <= record.answered_at;
            }
            if is_changed || is_outdated {
                record.changed_at = now;
            }
            is_news |= is_changed;
            if is_changed {
                for crash in &suspect.crashes {
                    is_news |= self.add_withdrawn(&Crash { at: crash.at.min(now), ..*crash });
                }
            }
        }
        is_news
    }

    /// The record of a suspect, a new one if there is none; `None` if there is no room for it.
    fn record_mut(&mut self, id: SuspectId, now: crash::TimeOfDay) -> Option<&mut record::Record> {
        if !self.records.contains_key(&id) {
            if self.records.len() >= MAX_SUSPECTS {
                return None;
            }
            let answered_at = self.answers.get(&id).copied().unwrap_or_default();
            let record =
                record::Record { answered_at, changed_at: now, ..record::Record::default() };
            self.records.insert(id, record);
        }
        self.records.get_mut(&id)
    }

    /// Makes room for suspects: removes those whose last crash is long ago or that were cleared, then
    /// the least suspect ones, as far as they aren't among these themselves.
    fn make_room(&mut self, ids: impl Iterator<Item = SuspectId>, now: crash::TimeOfDay) {
        let ids: collections::HashSet<_> = ids.collect();
        let missing = ids.iter().filter(|id| !self.records.contains_key(id)).count();
        let excess = |len: usize| (len + missing).saturating_sub(MAX_SUSPECTS);
        if excess(self.records.len()) == 0 {
            return;
        }
        let is_needed = |id: &SuspectId, record: &record::Record| {
            let (age, crashes) = (now.saturating_sub(record.last_change()), record.crashes.len());
            age < if crashes == 0 {
                telling::TELL_CHANGES
            } else {
                record::forget_after(id, crashes)
            }
        };
        let others = self.records.iter().filter(|(id, _)| !ids.contains(id));
        let suspicion = |(id, record): (&SuspectId, &record::Record)| {
            (is_needed(id, record), record.crashes.len(), record.last_change(), *id)
        };
        let mut others: Vec<_> = others.map(suspicion).collect();
        let needless = others.iter().filter(|(is_needed, ..)| !is_needed).count();
        let removed = excess(self.records.len()).max(needless).min(others.len());
        if removed < others.len() {
            others.select_nth_unstable(removed);
        }
        for (.., id) in &others[..removed] {
            self.records.remove(id);
        }
    }
}
