//! Whether a gateway may use its part of an allowance that the whole fleet shares.
//!
//! The parts add up to the allowance without a message for each use, as long as each gateway divides
//! it by a number that includes every other gateway that uses a part. Gateways that are silent may
//! only be cut off, so all known ones are counted. What remains are gateways that don't know each
//! other. Of two of them, the one that was written into the list of gateways later finds the other
//! one there. It uses no part
//!
//! - until each gateway that it found has sent it a message, since a gateway sends messages only to
//!   those that it counts, or until [`LIST_VALIDITY`] after it registered, since a gateway that
//!   hasn't read the list for that long uses no part either;
//! - for a further window, so that what the others used before they counted it, or what an earlier
//!   process of the same VM used, is no longer in any window with its own use.
//!
//! An entry of the list is retired for [`LIST_VALIDITY`] and more before it is removed, so whoever
//! isn't listed has stopped using its part.
//!
//! # Restarts
//!
//! Once all that use a part have counted a gateway, this stays true for as long as its entry is in
//! the list, whoever runs: a read of the list is valid for less time than it takes until an entry is
//! removed, and whoever registers later finds the entry. So the fact is kept in the entry. A process
//! that starts and finds it there, in its own entry, waits for no other gateway, only for the
//! window. A gateway that is gone for good costs the fleet its own part, also after all others have
//! started again. The entry shows nothing
//!
//! - in another era of the store: it may have been removed, and have come back with a copy;
//! - if it has the address of another process, which may still run and use the same part. There is
//!   no message by which to know, so the part is used only [`LIST_VALIDITY`] later;
//! - before the fact is written, as of a gateway that started first beside a silent one.
//!
//! No clock of another VM is part of this, nor the time of day.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::decision::membership;
//! use tokio::time;
//!
//! let (start, window) = (time::Instant::now(), Duration::from_secs(10));
//! let mut membership = membership::Membership::default();
//! membership.record_registration(start);
//! membership.record_list(["other".to_owned()], start);
//! assert_eq!(membership.standing(window, start), membership::Standing::Listed);
//! membership.record_message("other", start);
//! assert_eq!(membership.standing(window, start + window), membership::Standing::Counted);
//! ```

use std::collections;
use std::time::Duration;

use azuregap_coordination::ids as store_ids;
use azuregap_core::ids;
use tokio::time;

/// Time for which a read of the list of gateways is valid: several intervals between two reads.
pub const LIST_VALIDITY: Duration = Duration::from_secs(60);

/// What the other gateways know about a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may not be in the list, or not know all others.
    Unlisted,
    /// It is in the list, but others may not have counted it for a window yet.
    Listed,
    /// All others that use a part of the allowance have counted it for a window.
    Counted,
}

impl Standing {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unlisted => "unlisted",
            Self::Listed => "listed",
            Self::Counted => "counted",
        }
    }
}

/// What the entry of a gateway showed when its process registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedent {
    /// There was none, or one that others may not have counted.
    Unknown,
    /// All others that use a part of the allowance have counted it, see [`Membership::is_known`].
    Known,
    /// It was that of another process of the same name, which may still run.
    Replaced,
}

impl Precedent {
    /// What an entry showed in an era of the store. `is_replacement` is whether it has the address of
    /// another process, or took the place of such a one and the gateway isn't known since, and
    /// `known_in` the era in which it says that the gateway is known.
    #[must_use]
    pub fn of_entry(
        is_replacement: bool,
        known_in: Option<store_ids::Era>,
        era: store_ids::Era,
    ) -> Self {
        match (is_replacement, known_in) {
            (true, _) => Self::Replaced,
            (false, Some(known_in)) if known_in == era => Self::Known,
            (false, _) => Self::Unknown,
        }
    }

    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Known => "known",
            Self::Replaced => "replaced",
        }
    }
}

/// A gateway's place in the list of gateways.
#[derive(Debug, Default)]
pub struct Membership {
    registered_at: Option<time::Instant>,
    /// When the list, with this gateway in it, was last read.
    listed_at: Option<time::Instant>,
    /// Gateways in the first list after the registration that have sent no message since then.
    awaited: Option<collections::HashSet<ids::NodeId>>,
    /// Gateways that have sent a message since the registration, until the first list is read.
    heard: collections::HashSet<ids::NodeId>,
    /// When the last of the awaited gateways was heard.
    known_at: Option<time::Instant>,
    /// Whether another process of the same name may still run.
    is_replacement: bool,
}

impl Membership {
    /// Records that this gateway was written into the list.
    pub fn record_registration(&mut self, now: time::Instant) {
        self.record_registration_after(Precedent::Unknown, now);
    }

    /// Records that this gateway was written into the list, in place of its entry there.
    pub fn record_registration_after(&mut self, precedent: Precedent, now: time::Instant) {
        let is_known = precedent == Precedent::Known;
        *self = Self {
            registered_at: Some(now),
            awaited: is_known.then(collections::HashSet::new),
            known_at: is_known.then_some(now),
            is_replacement: precedent == Precedent::Replaced,
            ..Self::default()
        };
    }

    /// Records a read of the list, which names this gateway and `others`; `now` is when the read
    /// was begun.
    pub fn record_list(
        &mut self,
        others: impl IntoIterator<Item = ids::NodeId>,
        now: time::Instant,
    ) {
        self.listed_at = Some(now);
        if self.awaited.is_some() {
            return;
        }
        let heard = std::mem::take(&mut self.heard);
        let awaited = others.into_iter().filter(|node| !heard.contains(node));
        self.awaited = Some(awaited.collect());
        self.update_known(now);
    }

    /// Records that this gateway is no longer in the list.
    pub fn record_loss(&mut self) {
        *self = Self::default();
    }

    /// Gateways that were in the list before this one and have sent no message since.
    pub fn awaited(&self) -> impl Iterator<Item = &str> {
        self.awaited.iter().flatten().map(String::as_str)
    }

    /// Records a message of another gateway.
    pub fn record_message(&mut self, node: &str, now: time::Instant) {
        match &mut self.awaited {
            Some(awaited) => {
                awaited.remove(node);
                self.update_known(now);
            }
            None if !self.heard.contains(node) => {
                self.heard.insert(node.to_owned());
            }
            None => {}
        }
    }

    /// Whether it has been in the list for a span, and has read the list lately. Those of the others that
    /// run and aren't cut off have heard of it since, also if others that are listed are silent.
    #[must_use]
    pub fn has_joined(&self, span: Duration, now: time::Instant) -> bool {
        let age = |at: Option<time::Instant>| at.map(|at| now.saturating_duration_since(at));
        age(self.registered_at).is_some_and(|age| age >= span)
            && age(self.listed_at).is_some_and(|age| age < LIST_VALIDITY)
    }

    fn update_known(&mut self, now: time::Instant) {
        let is_complete = self.awaited.as_ref().is_some_and(collections::HashSet::is_empty);
        if is_complete && self.known_at.is_none() && !self.is_replacement {
            self.known_at = Some(now);
        }
    }

    /// When all others that use a part of the allowance have counted this gateway, also if it hears
    /// nothing more of them; `None` if it isn't in the list.
    fn known_since(&self) -> Option<time::Instant> {
        let all_have_read = self.registered_at? + LIST_VALIDITY;
        Some(self.known_at.map_or(all_have_read, |at| at.min(all_have_read)))
    }

    /// Whether all others that use a part of the allowance have counted this gateway. They go on to do
    /// so while it is in the list, whether its process runs or not.
    #[must_use]
    pub fn is_known(&self, now: time::Instant) -> bool {
        self.known_since().is_some_and(|since| since <= now)
    }

    /// What the others know about this gateway, if the use of the allowance is limited per `window`.
    #[must_use]
    pub fn standing(&self, window: Duration, now: time::Instant) -> Standing {
        let is_within = |at: time::Instant, span| now.saturating_duration_since(at) < span;
        let (Some(known_since), Some(listed_at)) = (self.known_since(), self.listed_at) else {
            return Standing::Unlisted;
        };
        if !is_within(listed_at, LIST_VALIDITY) {
            return Standing::Unlisted;
        }
        if is_within(known_since, window) { Standing::Listed } else { Standing::Counted }
    }
}
