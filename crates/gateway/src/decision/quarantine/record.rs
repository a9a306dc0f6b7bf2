//! What a gateway knows about a suspect that was part of a crash.

use std::time::Duration;

use smallvec::SmallVec;

use super::crash;
use super::suspect;

/// Maximum number of crashes that are remembered for each suspect; the newest ones are kept.
pub const MAX_CRASHES: usize = 16;

/// Time after which a crash is forgotten.
const FORGET: Duration = Duration::from_secs(3_600);

/// Time after which a crash of a request is forgotten that has crashed several backend servers.
const FORGET_REQUEST: Duration = Duration::from_secs(24 * 3_600);

/// Number of crashes from which on those of a request are remembered for [`FORGET_REQUEST`].
const MANY_CRASHES: usize = 3;

/// Time since the last answer of what comes often.
const CURRENT: Duration = Duration::from_secs(5);

/// What is known about a suspect that was part of a crash.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Crashes since the last answer.
    pub(super) crashes: SmallVec<[crash::Crash; 4]>,
    pub(super) answered_at: crash::TimeOfDay,
    pub(super) changed_at: crash::TimeOfDay,
    /// When the last trial was sent here.
    pub(super) trial_at: crash::TimeOfDay,
    /// Whether a request of this gateway was part of one of the crashes.
    pub(super) is_own: bool,
    pub(super) has_rejected: bool,
    /// Whether the store has it.
    pub(super) is_saved: bool,
}

/// Time after which a suspect's crashes are forgotten, if there are `crashes` of them.
pub(super) fn forget_after(id: &suspect::SuspectId, crashes: usize) -> Duration {
    if id.is_request() && crashes >= MANY_CRASHES { FORGET_REQUEST } else { FORGET }
}

impl Record {
    /// Adds a crash; returns whether it is news. Older crashes than `forget` are dropped.
    pub(super) fn add(&mut self, crash: crash::Crash, forget: Duration) -> bool {
        let is_known = self.crashes.iter().any(|known| known.is_same(&crash));
        if is_known || crash.at <= self.answered_at {
            return false;
        }
        self.crashes.retain(|known| crash.at.saturating_sub(known.at) < forget);
        self.crashes.push(crash);
        self.is_saved = false;
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.sort_unstable_by_key(|crash| crash.at);
            self.crashes.remove(0);
        }
        true
    }

    /// Drops the crashes before an answer; returns whether this is news.
    pub(super) fn clear(&mut self, answered_at: crash::TimeOfDay) -> bool {
        if answered_at <= self.answered_at {
            return false;
        }
        self.answered_at = answered_at;
        let count = self.crashes.len();
        self.crashes.retain(|crash| crash.at > answered_at);
        count != self.crashes.len()
    }

    pub(super) fn suspect(&self, id: suspect::SuspectId) -> suspect::Suspect {
        suspect::Suspect { id, crashes: self.crashes.clone(), answered_at: self.answered_at }
    }

    /// Whether it was answered shortly before the first of its crashes, as what comes often and is
    /// sound is.
    pub(super) fn was_current(&self) -> bool {
        let first = self.crashes.iter().map(|crash| crash.at).min().unwrap_or_default();
        !self.answered_at.is_zero() && first.saturating_sub(self.answered_at) < CURRENT
    }

    /// Whether the same is said of its crashes as of those of another suspect.
    pub(super) fn is_judged_as(&self, other: &Self) -> bool {
        self.crashes == other.crashes && self.was_current() == other.was_current()
    }

    pub(super) fn last_crash(&self) -> crash::TimeOfDay {
        self.crashes.iter().map(|crash| crash.at).max().unwrap_or_default()
    }

    pub(super) fn last_change(&self) -> crash::TimeOfDay {
        self.last_crash().max(self.changed_at)
    }
}
