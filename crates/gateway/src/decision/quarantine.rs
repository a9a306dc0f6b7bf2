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
mod record;
mod rejection;
mod suspect;
pub mod turn;

use std::cmp;
use std::collections;
use std::time::Duration;

use smallvec::SmallVec;

pub use crash::Crash;
pub use record::MAX_CRASHES;
pub use rejection::Admission;
pub use rejection::Rejection;
pub use suspect::SegmentCrash;
pub use suspect::SegmentSuspect;
pub use suspect::Suspect;
pub use suspect::SuspectId;
pub use suspect::Suspects;

/// Crashes without an answer since after which requests with a suspect are rejected.
pub const REJECT_CRASHES: usize = 3;

/// Crashes without an answer since after which a request that lost its backend server is not
/// retried.
const RETRY_CRASHES: usize = 2;

/// Crashes without an answer since from which on a request is rejected whatever else was lost, and a
/// suspect gets no trial before its hold ends.
pub const MAX_TRIED_CRASHES: usize = 5;

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

/// Interval between two trials of a gateway after the hold.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(60);

/// Time for which other gateways are told of a change of a suspect with few crashes.
const TELL_CHANGES: Duration = Duration::from_secs(10);

/// Maximum number of suspects that are remembered.
const MAX_SUSPECTS: usize = 1_024;

/// Maximum number of suspects that are told in one message.
pub const MAX_TOLD: usize = 32;

/// Suspects in a message that are chosen by their last change, in turn; the rest by their crashes.
const TOLD_CHANGES: usize = 16;

/// Maximum number of segments whose last answer is remembered.
const MAX_ANSWERS: usize = 4_096;

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

    /// Whether a request with these suspects may be sent to a service that has `known` backend
    /// servers, `living` of which are not known to have ended. One that has lost a server isn't
    /// sent to the last one of them, which the others need, unless it is answered all the time.
    #[must_use]
    pub fn may_risk(&self, suspects: &[SuspectId], living: usize, known: usize) -> bool {
        let is_lost = |id: &SuspectId| {
            let record = id.is_request().then(|| self.records.get(id)).flatten();
            record.is_some_and(|record| !record.crashes.is_empty() && !record.was_current())
        };
        living > 1 || known <= 1 || !suspects.iter().any(is_lost)
    }

    /// Records that the backend server of a request with these suspects ended before the request was
    /// answered; returns whether this is news for the other gateways.
    pub fn record_crash(&mut self, suspects: &[SuspectId], crash: Crash) -> bool {
        let mut is_news = false;
        for id in suspects {
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

    /// What the other gateways are told in the next message: recent changes, in turn if they are
    /// many, and the suspects with the most crashes.
    #[must_use]
    pub fn tell(&mut self, now: crash::TimeOfDay) -> Vec<Suspect> {
        let is_recent =
            |record: &record::Record| now.saturating_sub(record.last_change()) < TELL_CHANGES;
        let mut recent: Vec<_> =
            self.records.iter().filter(|(_, record)| is_recent(record)).collect();
        recent.sort_unstable_by_key(|(id, record)| (cmp::Reverse(record.last_change()), **id));
        if recent.len() > TOLD_CHANGES {
            let first = self.messages * TOLD_CHANGES % recent.len();
            recent.rotate_left(first);
        }
        let rest = recent.split_off(recent.len().min(TOLD_CHANGES));
        let known = self
            .records
            .iter()
            .filter(|(_, record)| record.crashes.len() >= REJECT_CRASHES && !is_recent(record));
        let mut known: Vec<_> = rest.into_iter().chain(known).collect();
        known.sort_unstable_by_key(|(id, record)| (cmp::Reverse(record.crashes.len()), **id));
        self.messages = self.messages.wrapping_add(1);
        let told = recent.iter().chain(&known).take(MAX_TOLD);
        told.map(|(id, record)| record.suspect(**id)).collect()
    }

    /// Suspects that this gateway has to save in the store, for a fleet whose processes all end at
    /// once. Only gateways whose own requests were part of a crash save it.
    #[must_use]
    pub fn unsaved(&self) -> Vec<Suspect> {
        let is_needed = |id: &SuspectId, record: &record::Record| {
            record.has_rejected || (id.is_request() && record.crashes.len() >= SAVE_CRASHES)
        };
        let is_unsaved = |(id, record): &(&SuspectId, &record::Record)| {
            record.is_own && !record.is_saved && is_needed(id, record)
        };
        let records = self.records.iter().filter(is_unsaved);
        records.map(|(id, record)| record.suspect(*id)).collect()
    }

    /// Records that a request was rejected for a suspect.
    pub fn mark_rejected(&mut self, id: &SuspectId) {
        if let Some(record) = self.records.get_mut(id) {
            record.has_rejected = true;
        }
    }

    /// Records that the store has a suspect.
    pub fn mark_saved(&mut self, saved: &Suspect) {
        if let Some(record) = self.records.get_mut(&saved.id) {
            record.is_saved = record.crashes == saved.crashes;
        }
    }

    /// Records that the store may have lost what was saved.
    pub fn forget_saved(&mut self) {
        self.records.values_mut().for_each(|record| record.is_saved = false);
    }

    /// Whether what was saved about a suspect is of no use any more: it was answered since, or its
    /// last crash is long ago.
    #[must_use]
    pub fn is_obsolete(&self, saved: &Suspect, now: crash::TimeOfDay) -> bool {
        let answer = self.answers.get(&saved.id).copied().unwrap_or_default();
        let record = self.records.get(&saved.id);
        let answered_at = record.map_or(answer, |record| record.answered_at.max(answer));
        let forget = record::forget_after(&saved.id, saved.crashes.len());
        let is_open =
            |crash: &Crash| crash.at > answered_at && now.saturating_sub(crash.at) < forget;
        !saved.crashes.iter().any(is_open)
    }

    /// Whether a request that lost its backend server may be retried: not if one of its suspects was
    /// lost before.
    #[must_use]
    pub fn may_retry(&self, suspects: &[SuspectId]) -> bool {
        let is_lost = |id: &SuspectId| id.is_request() && self.crashes(id) >= RETRY_CRASHES;
        !suspects.iter().any(is_lost) && self.guilty_suspect(suspects, RETRY_CRASHES).is_none()
    }

    /// Decides whether a request with these suspects may be sent, and records it if it is a trial.
    ///
    /// # Errors
    ///
    /// If one of the suspects is kept from backend servers.
    pub fn admit(
        &mut self,
        suspects: &[SuspectId],
        now: crash::TimeOfDay,
    ) -> Result<Admission, Rejection> {
        let Some(rejection) = self.find_rejection(suspects, now) else {
            return Ok(Admission::Normal);
        };
        let Some(record) = self.records.get_mut(&rejection.suspect) else {
            return Ok(Admission::Normal);
        };
        if rejection.time_left.is_zero() {
            record.trial_at = now;
            return Ok(Admission::Trial);
        }
        record.has_rejected = true;
        Err(rejection)
    }

    /// Why a request with these suspects is rejected; the time left is zero if a trial may be sent.
    /// `None` if none of them is kept from backend servers.
    #[must_use]
    pub fn find_rejection(
        &self,
        suspects: &[SuspectId],
        now: crash::TimeOfDay,
    ) -> Option<Rejection> {
        if let Some(suspect) = self.guilty_suspect(suspects, REJECT_CRASHES) {
            let record = self.records.get(&suspect)?;
            let is_tried =
                !record.answered_at.is_zero() && record.crashes.len() < MAX_TRIED_CRASHES;
            let trial_at = if is_tried {
                next_turn(record, now)
            } else {
                (record.last_crash() + self.hold).max(record.trial_at + TRIAL_INTERVAL)
            };
            return Some(rejection(suspect, record, true, trial_at, now));
        }
        let is_doubtful = |id: &SuspectId| {
            let record = id.is_request().then(|| self.records.get(id)).flatten();
            let is_unknown = |record: &&record::Record| {
                record.crashes.len() >= REJECT_CRASHES && !record.was_current()
            };
            let record = record.filter(is_unknown)?;
            Some(rejection(*id, record, false, next_turn(record, now), now))
        };
        suspects.iter().find_map(is_doubtful)
    }

    /// The suspect that is taken for the cause of at least `min` crashes.
    fn guilty_suspect(&self, suspects: &[SuspectId], min: usize) -> Option<SuspectId> {
        let is_spent = |id: &SuspectId| {
            let record = id.is_request().then(|| self.records.get(id)).flatten();
            record.is_some_and(|record| {
                record.crashes.len() >= MAX_TRIED_CRASHES && !record.was_current()
            })
        };
        if let Some(spent) = suspects.iter().copied().find(is_spent) {
            return Some(spent);
        }
        let lost = suspects.iter().copied().filter(|id| self.crashes(id) >= min);
        let counted = lost.map(|id| (id, self.unexplained_crashes(id, suspects)));
        let guilty = counted.filter(|(_, count)| *count >= min).max_by_key(|(_, count)| *count);
        guilty.map(|(id, _)| id)
    }

    /// Number of crashes of a suspect that no suspect outside the request explains: one that was lost as
    /// often, or more than once and never answered while this one is answered all the time. Those at
    /// about the same moment count once.
    fn unexplained_crashes(&self, id: SuspectId, own: &[SuspectId]) -> usize {
        let Some(record) = self.records.get(&id) else { return 0 };
        let is_current = record.was_current();
        let is_rival = |rival: &record::Record| {
            let is_unanswered = rival.answered_at.is_zero() && rival.crashes.len() >= RETRY_CRASHES;
            rival.crashes.len() >= record.crashes.len() || (is_current && is_unanswered)
        };
        let others: SmallVec<[&record::Record; 8]> = self
            .records
            .iter()
            .filter(|(other, rival)| is_rival(rival) && !own.contains(other))
            .map(|(_, rival)| rival)
            .collect();
        let is_explained = |crash: &Crash| {
            others.iter().any(|rival| rival.crashes.iter().any(|other| other.is_same(crash)))
        };
        let unexplained = record.crashes.iter().filter(|crash| !is_explained(crash));
        let mut unexplained: SmallVec<[Crash; 8]> = unexplained.copied().collect();
        crash::count_causes(&mut unexplained)
    }

    /// The record of a suspect, a new one if there is none; `None` if there is no room for it.
    fn record_mut(&mut self, id: SuspectId, now: crash::TimeOfDay) -> Option<&mut record::Record> {
        if !self.records.contains_key(&id) {
            if self.records.len() >= MAX_SUSPECTS {
                self.make_room(now);
            }
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

    /// Removes suspects whose last crash is long ago or that were cleared, and the least suspect one
    /// if all others are still needed.
    fn make_room(&mut self, now: crash::TimeOfDay) {
        self.records.retain(|id, record| {
            let age = now.saturating_sub(record.last_change());
            let crashes = record.crashes.len();
            age < if crashes == 0 { TELL_CHANGES } else { record::forget_after(id, crashes) }
        });
        if self.records.len() < MAX_SUSPECTS {
            return;
        }
        let suspicion = |record: &record::Record| (record.crashes.len(), record.last_change());
        let least = self.records.iter().min_by_key(|(_, record)| suspicion(record));
        if let Some(id) = least.map(|(id, _)| *id) {
            self.records.remove(&id);
        }
    }
}

/// When this gateway may send the next of the trials that are sent in turn.
fn next_turn(record: &record::Record, now: crash::TimeOfDay) -> crash::TimeOfDay {
    let is_new = turn::number(record.trial_at) != turn::number(now);
    if is_new { now } else { now + turn::time_left(now) }
}

fn rejection(
    suspect: SuspectId,
    record: &record::Record,
    is_guilty: bool,
    trial_at: crash::TimeOfDay,
    now: crash::TimeOfDay,
) -> Rejection {
    let crashes = record.crashes.len();
    let forgotten_at = record.last_crash() + record::forget_after(&suspect, crashes);
    let is_final = suspect.is_request() && crashes >= MAX_TRIED_CRASHES;
    let until = if is_final { forgotten_at } else { trial_at };
    let time_left = until.saturating_sub(now);
    Rejection { suspect, crashes, is_guilty, time_left, is_first: !record.has_rejected }
}
