//! What other gateways and the store are told of suspects.

use std::cmp;
use std::time::Duration;

use super::Quarantine;
use super::crash;
use super::record;
use super::suspect;

/// Time for which other gateways are told of a change of a suspect with few crashes.
pub(super) const TELL_CHANGES: Duration = Duration::from_secs(10);

/// Maximum number of suspects that are told in one message.
pub const MAX_TOLD: usize = 32;

/// Suspects in a message that are chosen by their last change, in turn; the rest by their crashes.
const TOLD_CHANGES: usize = 16;

impl Quarantine {
    /// What the other gateways are told in the next message: recent changes, in turn if they are
    /// many, and the suspects with the most crashes.
    #[must_use]
    pub fn tell(&mut self, now: crash::TimeOfDay) -> Vec<suspect::Suspect> {
        let is_recent =
            |record: &record::Record| now.saturating_sub(record.last_change()) < TELL_CHANGES;
        let recent = self.records.iter().filter(|(_, record)| is_recent(record));
        let by_change =
            |(id, record)| (cmp::Reverse(record::Record::last_change(record)), id, record);
        let mut recent: Vec<_> = recent.map(by_change).collect();
        recent.sort_unstable_by_key(|(change, id, _)| (*change, **id));
        let mut recent: Vec<_> = recent.into_iter().map(|(_, id, record)| (id, record)).collect();
        if recent.len() > TOLD_CHANGES {
            let first = self.messages * TOLD_CHANGES % recent.len();
            recent.rotate_left(first);
        }
        let rest = recent.split_off(recent.len().min(TOLD_CHANGES));
        let known = self.records.iter().filter(|(_, record)| {
            record.crashes.len() >= super::REJECT_CRASHES && !is_recent(record)
        });
        let mut known: Vec<_> = rest.into_iter().chain(known).collect();
        let by_crashes = |(id, record): &(&suspect::SuspectId, &record::Record)| {
            (cmp::Reverse(record.crashes.len()), **id)
        };
        if known.len() > MAX_TOLD {
            known.select_nth_unstable_by_key(MAX_TOLD, by_crashes);
            known.truncate(MAX_TOLD);
        }
        known.sort_unstable_by_key(by_crashes);
        self.messages = self.messages.wrapping_add(1);
        let told = recent.iter().chain(&known).take(MAX_TOLD);
        told.map(|(id, record)| record.suspect(**id)).collect()
    }

    /// Suspects that this gateway has to save in the store, for a fleet whose processes all end at
    /// once. Only gateways whose own requests were part of a crash save it.
    #[must_use]
    pub fn unsaved(&self) -> Vec<suspect::Suspect> {
        let is_needed = |id: &suspect::SuspectId, record: &record::Record| {
            record.has_rejected || (id.is_request() && record.crashes.len() >= super::SAVE_CRASHES)
        };
        let is_unsaved = |(id, record): &(&suspect::SuspectId, &record::Record)| {
            record.is_own && !record.is_saved && is_needed(id, record)
        };
        let records = self.records.iter().filter(is_unsaved);
        records.map(|(id, record)| record.suspect(*id)).collect()
    }

    /// Records that a request was rejected for a suspect.
    pub fn mark_rejected(&mut self, id: &suspect::SuspectId) {
        if let Some(record) = self.records.get_mut(id) {
            record.has_rejected = true;
        }
    }

    /// Records that the store has a suspect.
    pub fn mark_saved(&mut self, saved: &suspect::Suspect) {
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
    pub fn is_obsolete(&self, saved: &suspect::Suspect, now: crash::TimeOfDay) -> bool {
        let answer = self.answers.get(&saved.id).copied().unwrap_or_default();
        let record = self.records.get(&saved.id);
        let answered_at = record.map_or(answer, |record| record.answered_at.max(answer));
        let forget = record::forget_after(&saved.id, saved.crashes.len());
        let is_open =
            |crash: &crash::Crash| crash.at > answered_at && now.saturating_sub(crash.at) < forget;
        !saved.crashes.iter().any(is_open)
    }
}
