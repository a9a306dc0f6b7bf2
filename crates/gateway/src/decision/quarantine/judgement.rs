//! Which requests are kept from backend servers, by what is known of their suspects.

use std::collections;
use std::time::Duration;

use smallvec::SmallVec;

use super::Quarantine;
use super::RETRY_CRASHES;
use super::crash;
use super::explanations;
use super::record;
use super::rejection;
use super::suspect;
use super::turn;

/// Interval between two trials of a gateway after the hold.
const TRIAL_INTERVAL: Duration = Duration::from_secs(60);

impl Quarantine {
    /// Whether a request with these suspects may be sent to a service that has `known` backend
    /// servers, `living` of which are not known to have ended. One that has lost a server isn't
    /// sent to the last one of them, which the others need, unless it is answered all the time.
    #[must_use]
    pub fn may_risk(&self, suspects: &[suspect::SuspectId], living: usize, known: usize) -> bool {
        living > 1 || known <= 1 || !self.has_lost(suspects)
    }

    /// Whether a request with these suspects has lost a backend server, and isn't answered all the time.
    #[must_use]
    pub fn has_lost(&self, suspects: &[suspect::SuspectId]) -> bool {
        let is_lost = |id: &suspect::SuspectId| {
            let record = id.is_request().then(|| self.records.get(id)).flatten();
            record.is_some_and(|record| !record.crashes.is_empty() && !record.was_current())
        };
        suspects.iter().any(is_lost)
    }

    /// Whether a request that lost its backend server may be retried: not if one of its suspects was
    /// lost before.
    #[must_use]
    pub fn may_retry(&self, suspects: &[suspect::SuspectId]) -> bool {
        let is_lost =
            |id: &suspect::SuspectId| id.is_request() && self.crashes(id) >= RETRY_CRASHES;
        !suspects.iter().any(is_lost) && self.guilty_suspect(suspects, RETRY_CRASHES).is_none()
    }

    /// Decides whether a request with these suspects may be sent, and records it if it is a trial.
    ///
    /// # Errors
    ///
    /// If one of the suspects is kept from backend servers.
    pub fn admit(
        &mut self,
        suspects: &[suspect::SuspectId],
        now: crash::TimeOfDay,
    ) -> Result<rejection::Admission, rejection::Rejection> {
        let Some(rejection) = self.find_rejection(suspects, now) else {
            return Ok(rejection::Admission::Normal);
        };
        let Some(record) = self.records.get_mut(&rejection.suspect) else {
            return Ok(rejection::Admission::Normal);
        };
        if rejection.time_left.is_zero() {
            record.trial_at = now;
            return Ok(rejection::Admission::Trial);
        }
        record.has_rejected = true;
        Err(rejection)
    }

    /// Why a request with these suspects is rejected; the time left is zero if a trial may be sent.
    /// `None` if none of them is kept from backend servers.
    #[must_use]
    pub fn find_rejection(
        &self,
        suspects: &[suspect::SuspectId],
        now: crash::TimeOfDay,
    ) -> Option<rejection::Rejection> {
        if let Some(suspect) = self.guilty_suspect(suspects, super::REJECT_CRASHES) {
            let record = self.records.get(&suspect)?;
            let is_tried =
                !record.answered_at.is_zero() && record.crashes.len() < super::MAX_TRIED_CRASHES;
            let trial_at = if is_tried {
                next_turn(record, now)
            } else {
                (record.last_crash() + self.hold).max(record.trial_at + TRIAL_INTERVAL)
            };
            return Some(rejection(suspect, record, true, trial_at, now));
        }
        let is_doubtful = |id: &suspect::SuspectId| {
            let record = id.is_request().then(|| self.records.get(id)).flatten();
            let is_unknown = |record: &&record::Record| {
                record.crashes.len() >= super::REJECT_CRASHES && !record.was_current()
            };
            let record = record.filter(is_unknown)?;
            Some(rejection(*id, record, false, next_turn(record, now), now))
        };
        suspects.iter().find_map(is_doubtful)
    }

    /// The suspect that is taken for the cause of at least `min` crashes.
    fn guilty_suspect(
        &self,
        suspects: &[suspect::SuspectId],
        min: usize,
    ) -> Option<suspect::SuspectId> {
        let is_spent = |id: &suspect::SuspectId| {
            self.records.get(id).is_some_and(|record| is_spent(id, record))
        };
        if let Some(spent) = suspects.iter().copied().find(is_spent) {
            return Some(spent);
        }
        let known = suspects.iter().filter_map(|id| Some((id, self.records.get(id)?)));
        let lost: Vec<_> = known.filter(|(_, record)| record.crashes.len() >= min).collect();
        let explanations = self.explanations_outside(suspects, &lost);
        let mut last: Option<(&record::Record, usize)> = None;
        let counted = lost.iter().map(|(id, record)| {
            // The segments of a prompt mostly have the same crashes.
            let count = match last {
                Some((other, count)) if other.is_judged_as(record) => count,
                _ => unexplained_crashes(record, &explanations),
            };
            last = Some((record, count));
            (**id, count)
        });
        let guilty = counted.filter(|(_, count)| *count >= min).max_by_key(|(_, count)| *count);
        guilty.map(|(id, _)| id)
    }

    /// What suspects outside of a request explain of the crashes of those that it has `lost`.
    fn explanations_outside(
        &self,
        own: &[suspect::SuspectId],
        lost: &[(&suspect::SuspectId, &record::Record)],
    ) -> explanations::Explanations {
        let crashes = lost.iter().flat_map(|(_, record)| &record.crashes);
        let servers: collections::BTreeSet<_> = crashes.map(|crash| crash.backend_hash).collect();
        if servers.is_empty() {
            return explanations::Explanations::default();
        }
        let own: collections::HashSet<_> = own.iter().collect();
        let rivals = self.records.iter().filter(|(id, record)| {
            // One crash explains none of what was lost more often.
            record.crashes.len() >= RETRY_CRASHES && !own.contains(id)
        });
        explanations::Explanations::new(rivals.map(|(_, record)| record), &servers)
    }
}

/// Number of crashes of a suspect that no suspect outside the request explains: one that was lost as
/// often, or more than once and never answered while this one is answered all the time. Those at
/// about the same moment count once.
fn unexplained_crashes(
    record: &record::Record,
    explanations: &explanations::Explanations,
) -> usize {
    let (crashes, is_current) = (record.crashes.len(), record.was_current());
    let is_unexplained =
        |crash: &&crash::Crash| !explanations.of(crash).explains(crashes, is_current);
    let unexplained = record.crashes.iter().filter(is_unexplained);
    let mut unexplained: SmallVec<[crash::Crash; 8]> = unexplained.copied().collect();
    crash::count_causes(&mut unexplained)
}

/// When this gateway may send the next of the trials that are sent in turn.
fn next_turn(record: &record::Record, now: crash::TimeOfDay) -> crash::TimeOfDay {
    let is_new = turn::number(record.trial_at) != turn::number(now);
    if is_new { now } else { now + turn::time_left(now) }
}

/// Whether a request gets no trial any more, whatever else was lost beside it.
fn is_spent(id: &suspect::SuspectId, record: &record::Record) -> bool {
    id.is_request() && record.crashes.len() >= super::MAX_TRIED_CRASHES && !record.was_current()
}

fn rejection(
    suspect: suspect::SuspectId,
    record: &record::Record,
    is_guilty: bool,
    trial_at: crash::TimeOfDay,
    now: crash::TimeOfDay,
) -> rejection::Rejection {
    let crashes = record.crashes.len();
    let forgotten_at = record.last_crash() + record::forget_after(&suspect, crashes);
    let until = if is_spent(&suspect, record) { forgotten_at } else { trial_at };
    let time_left = until.saturating_sub(now);
    rejection::Rejection { suspect, crashes, is_guilty, time_left, is_first: !record.has_rejected }
}
