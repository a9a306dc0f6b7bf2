//! Keeps prompt segments away from backend servers that crash on them.
//!
//! A prompt may hold a segment on which a model engine crashes, together with all other requests that
//! run there. A retry of such a request, and each new one with that segment, takes the next engine
//! down. So gateways remember the segments of requests whose backend server ended before the first
//! events, tell each other, and reject requests with a segment that was lost too often and
//! answered never since.
//!
//! Most segments of lost requests are innocent. Three facts tell them apart:
//!
//! - An answer that began after a crash and went on for a while, or was completed, clears all segments
//!   of its prompt.
//! - A crash that another segment was part of, which was lost as often, doesn't count against a
//!   segment. So a segment that always came with the guilty one is still answered without it.
//! - Crashes at about the same moment count once; they may have a common cause, such as a power loss.
//!
//! This handles requests of one kind that crash engines one after the other, at any rate and at any
//! gateway, while requests that share all but one segment with them go on.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::codec;
//! use azuregap_gateway::decision::quarantine;
//!
//! let mut quarantine = quarantine::Quarantine::new(0.0);
//! let prompt = [1, 66].map(|id| codec::Segment { id, tokens: 500 });
//! for second in 1..=3 {
//!     let at = Duration::from_secs(second);
//!     assert!(quarantine.admit(&prompt, at).is_ok());
//!     quarantine.record_crash(&prompt, second as u32, at);
//!     let began_at = at + Duration::from_millis(1);
//!     quarantine.record_answer(&prompt[..1], began_at, began_at);
//! }
//! let rejection = quarantine.admit(&prompt, Duration::from_secs(4)).expect_err("rejected");
//! assert_eq!(rejection.segment, 66);
//! assert!(quarantine.admit(&prompt[..1], Duration::from_secs(4)).is_ok());
//! ```

mod crash;
mod record;
mod rejection;
mod suspect;

use std::cmp;
use std::collections;
use std::time::Duration;

use smallvec::SmallVec;

use crate::codec;

pub use crash::Crash;
pub use record::MAX_CRASHES;
pub use rejection::Admission;
pub use rejection::Rejection;
pub use suspect::Suspect;

/// Crashes without an answer since after which requests with a segment are rejected.
const REJECT_CRASHES: usize = 3;

/// Crashes without an answer since after which a request that lost its backend server is not
/// retried.
const RETRY_CRASHES: usize = 2;

/// Crashes closer together than this count once.
const COMMON_CAUSE: Duration = Duration::from_millis(250);

/// An answer that goes on for this long after its first event shows that its prompt is sound. One that
/// is lost earlier counts as lost before its first event.
pub const PROBATION: Duration = Duration::from_millis(250);

/// Time after the last crash for which requests with a segment are rejected; then single ones are
/// sent again, since the engines may have been mended.
const HOLD: Duration = Duration::from_secs(600);

/// Interval between two single requests of a gateway after the hold.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(60);

/// Time for which other gateways are told of a change of a segment that isn't quarantined.
const TELL_CHANGES: Duration = Duration::from_secs(10);

/// Maximum number of segments that are remembered.
const MAX_SUSPECTS: usize = 256;

/// Maximum number of segments that are told in one message.
pub const MAX_TOLD: usize = 32;

/// Maximum number of segments whose last answer is remembered.
const MAX_ANSWERS: usize = 4_096;

/// Segments that were part of crashes, and which of them are kept from backend servers.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: collections::HashMap<codec::SegmentId, record::Record>,
    /// Beginning of the last answer of segments that were answered here.
    answers: collections::HashMap<codec::SegmentId, crash::TimeOfDay>,
    hold: Duration,
}

impl Quarantine {
    /// Creates an empty quarantine. `spread` is from 0 to 1 and differs between gateways, so that
    /// they don't all send a segment again at the same time.
    #[must_use]
    pub fn new(spread: f64) -> Self {
        Self { hold: HOLD.mul_f64(1.0 + spread), ..Self::default() }
    }

    /// Records that the backend server of a request with these shared segments ended before the first
    /// event or within [`PROBATION`] after it; returns whether this is news for the other gateways.
    pub fn record_crash(
        &mut self,
        segments: &[codec::Segment],
        backend_hash: u32,
        now: crash::TimeOfDay,
    ) -> bool {
        let crash = Crash { backend_hash, at: now };
        let mut is_news = false;
        for segment in segments {
            let Some(record) = self.record_mut(segment.id, now) else { continue };
            record.is_own = true;
            is_news |= record.add(crash);
        }
        is_news
    }

    /// Records that an answer to a prompt with these shared segments, which began at `began_at`, went on
    /// for [`PROBATION`] or was completed; returns whether this is news for the other gateways.
    pub fn record_answer(
        &mut self,
        segments: &[codec::Segment],
        began_at: crash::TimeOfDay,
        now: crash::TimeOfDay,
    ) -> bool {
        if self.answers.len() + segments.len() > MAX_ANSWERS {
            self.answers.clear();
        }
        let mut is_news = false;
        for segment in segments {
            let answered_at = self.answers.entry(segment.id).or_default();
            *answered_at = began_at.max(*answered_at);
            let record = self.records.get_mut(&segment.id);
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
            let Some(record) = self.record_mut(suspect.segment, now) else { continue };
            let mut is_changed = record.clear(suspect.answered_at.min(now));
            let mut is_outdated = false;
            for crash in &suspect.crashes {
                // A crash in the future could not be cleared by an answer.
                let crash = Crash { at: crash.at.min(now), ..*crash };
                is_changed |= record.add(crash);
                is_outdated |= crash.at <= record.answered_at;
            }
            if is_changed || is_outdated {
                record.changed_at = now;
            }
            is_news |= is_changed;
        }
        is_news
    }

    /// What the other gateways are told: quarantined segments and recent changes, the segments with
    /// most crashes first.
    #[must_use]
    pub fn told(&self, now: crash::TimeOfDay) -> Vec<Suspect> {
        let is_told = |record: &record::Record| {
            record.crashes.len() >= REJECT_CRASHES
                || now.saturating_sub(record.last_change()) < TELL_CHANGES
        };
        let records = self.records.iter().filter(|(_, record)| is_told(record));
        let mut told: Vec<_> = records.map(|(segment, record)| record.suspect(*segment)).collect();
        told.sort_unstable_by_key(|suspect| (cmp::Reverse(suspect.crashes.len()), suspect.segment));
        told.truncate(MAX_TOLD);
        told
    }

    /// Quarantined segments that this gateway has to save in the store, for a fleet whose processes
    /// all end at once. Only gateways whose own requests were part of a crash save it.
    #[must_use]
    pub fn unsaved(&self) -> Vec<Suspect> {
        let is_unsaved =
            |record: &record::Record| record.is_own && record.has_rejected && !record.is_saved;
        let records = self.records.iter().filter(|(_, record)| is_unsaved(record));
        records.map(|(segment, record)| record.suspect(*segment)).collect()
    }

    /// Records that a request was rejected for a segment.
    pub fn mark_rejected(&mut self, segment: codec::SegmentId) {
        if let Some(record) = self.records.get_mut(&segment) {
            record.has_rejected = true;
        }
    }

    /// Records that the store has a segment.
    pub fn mark_saved(&mut self, segment: codec::SegmentId) {
        if let Some(record) = self.records.get_mut(&segment) {
            record.is_saved = true;
        }
    }

    /// Records that the store may have lost what was saved.
    pub fn forget_saved(&mut self) {
        self.records.values_mut().for_each(|record| record.is_saved = false);
    }

    /// Whether what was saved about a segment is of no use any more: it was answered since, or its
    /// last crash is long ago.
    #[must_use]
    pub fn is_obsolete(&self, saved: &Suspect, now: crash::TimeOfDay) -> bool {
        let answered_at = self.answers.get(&saved.segment).copied().unwrap_or_default();
        let is_open =
            |crash: &Crash| crash.at > answered_at && now.saturating_sub(crash.at) < record::FORGET;
        !saved.crashes.iter().any(is_open)
    }

    /// Whether a request that lost its backend server may be retried: not if one of its segments is
    /// already suspected.
    #[must_use]
    pub fn may_retry(&self, segments: &[codec::Segment]) -> bool {
        self.guilty_segment(segments, RETRY_CRASHES).is_none()
    }

    /// Decides whether a request with these shared segments may be sent.
    ///
    /// # Errors
    ///
    /// If one of the segments is quarantined.
    pub fn admit(
        &mut self,
        segments: &[codec::Segment],
        now: crash::TimeOfDay,
    ) -> Result<Admission, Rejection> {
        let Some(rejection) = self.find_rejection(segments, now) else {
            return Ok(Admission::Normal);
        };
        let Some(record) = self.records.get_mut(&rejection.segment) else {
            return Ok(Admission::Normal);
        };
        if rejection.time_left.is_zero() {
            record.trial_at = now;
            return Ok(Admission::Trial);
        }
        record.has_rejected = true;
        Err(rejection)
    }

    /// Why a request with these shared segments is rejected; the time left is zero if a single one
    /// may be sent. `None` if no segment is quarantined.
    #[must_use]
    pub fn find_rejection(
        &self,
        segments: &[codec::Segment],
        now: crash::TimeOfDay,
    ) -> Option<Rejection> {
        let (segment, crashes) = self.guilty_segment(segments, REJECT_CRASHES)?;
        let record = self.records.get(&segment)?;
        let until = (record.last_crash() + self.hold).max(record.trial_at + TRIAL_INTERVAL);
        let time_left = until.saturating_sub(now);
        Some(Rejection { segment, crashes, time_left, is_first: !record.has_rejected })
    }

    /// The segment against which at least `min` crashes count, and their number.
    fn guilty_segment(
        &self,
        segments: &[codec::Segment],
        min: usize,
    ) -> Option<(codec::SegmentId, usize)> {
        let is_suspect = |id: &codec::SegmentId| {
            self.records.get(id).is_some_and(|record| record.crashes.len() >= min)
        };
        let suspects = segments.iter().map(|segment| segment.id).filter(is_suspect);
        let counted = suspects.map(|id| (id, self.unexplained_crashes(id, segments)));
        counted.filter(|(_, count)| *count >= min).max_by_key(|(_, count)| *count)
    }

    /// Number of crashes of a segment that no segment outside the prompt explains which was lost as
    /// often; those at about the same moment count once.
    fn unexplained_crashes(&self, id: codec::SegmentId, prompt: &[codec::Segment]) -> usize {
        let Some(record) = self.records.get(&id) else { return 0 };
        let is_outside = |other: &codec::SegmentId| prompt.iter().all(|own| own.id != *other);
        let others: SmallVec<[&record::Record; 8]> = self
            .records
            .iter()
            .filter(|(other, rival)| {
                rival.crashes.len() >= record.crashes.len() && is_outside(other)
            })
            .map(|(_, rival)| rival)
            .collect();
        let is_explained = |crash: &Crash| {
            others.iter().any(|rival| rival.crashes.iter().any(|other| other.is_same(crash)))
        };
        let unexplained = record.crashes.iter().filter(|crash| !is_explained(crash));
        let mut times: SmallVec<[crash::TimeOfDay; 8]> =
            unexplained.map(|crash| crash.at).collect();
        times.sort_unstable();
        let mut counted: Option<crash::TimeOfDay> = None;
        let mut count = 0;
        for at in times {
            if counted.is_none_or(|counted| at - counted >= COMMON_CAUSE) {
                counted = Some(at);
                count += 1;
            }
        }
        count
    }

    /// The record of a segment, a new one if there is none; `None` if there is no room for it.
    fn record_mut(
        &mut self,
        segment: codec::SegmentId,
        now: crash::TimeOfDay,
    ) -> Option<&mut record::Record> {
        if !self.records.contains_key(&segment) {
            if self.records.len() >= MAX_SUSPECTS {
                self.make_room(now);
            }
            if self.records.len() >= MAX_SUSPECTS {
                return None;
            }
            let answered_at = self.answers.get(&segment).copied().unwrap_or_default();
            let record =
                record::Record { answered_at, changed_at: now, ..record::Record::default() };
            self.records.insert(segment, record);
        }
        self.records.get_mut(&segment)
    }

    /// Removes segments whose last crash is long ago or that were cleared, and the least suspect one
    /// if all others are still needed.
    fn make_room(&mut self, now: crash::TimeOfDay) {
        self.records.retain(|_, record| {
            let age = now.saturating_sub(record.last_change());
            age < if record.crashes.is_empty() { TELL_CHANGES } else { record::FORGET }
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
