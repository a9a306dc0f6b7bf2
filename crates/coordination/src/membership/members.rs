//! The processes that one process knows.

use std::collections;

use tokio::time;

use crate::ids;
use crate::membership;

/// The processes that one process knows; `T` is what a process says of itself.
#[derive(Clone, Debug)]
pub struct Members<T> {
    rules: membership::MembershipOptions,
    all: collections::BTreeMap<ids::NodeId, membership::Member<T>>,
}

impl<T> Members<T> {
    /// Nobody is known yet.
    #[must_use]
    pub const fn new(rules: membership::MembershipOptions) -> Self {
        Self { rules, all: collections::BTreeMap::new() }
    }

    /// The platform's list was read.
    pub fn update_listing(
        &mut self,
        entries: impl IntoIterator<Item = (ids::NodeId, membership::Listing)>,
        now: time::Instant,
    ) {
        for member in self.all.values_mut() {
            member.listing = membership::Listing::Absent;
        }
        for (node, listing) in entries {
            if let Some(member) = self.admit(&node, now) {
                member.listing = listing;
                member.last_seen = now;
            }
        }
        self.remove_expired(now);
    }

    /// A process spoke to this one.
    pub fn record_message(
        &mut self,
        node: &str,
        incarnation: ids::Incarnation,
        info: T,
        now: time::Instant,
    ) -> membership::MessageOutcome {
        let Some(member) = self.admit(node, now) else { return membership::MessageOutcome::Full };
        if member.former.contains(&incarnation) {
            return membership::MessageOutcome::Stale;
        }
        let heard = match member.incarnation {
            None => membership::MessageOutcome::New,
            Some(present) if present == incarnation => membership::MessageOutcome::Known,
            Some(_) => membership::MessageOutcome::Restarted,
        };
        if heard == membership::MessageOutcome::Restarted {
            member.retire();
            member.leaving = false;
        }
        member.incarnation = Some(incarnation);
        member.info = Some(info);
        member.last_message = Some(now);
        member.last_seen = now;
        heard
    }

    /// A third process told of one that has not spoken itself lately; it may be greeted.
    pub fn record_gossip(&mut self, node: &str, info: T, now: time::Instant) {
        let silence = self.rules.silence_timeout;
        let Some(member) = self.admit(node, now) else { return };
        if !speaks(member, silence, now) {
            member.info = Some(info);
            member.last_seen = now;
        }
    }

    /// A process said that this incarnation of it leaves.
    pub fn mark_leaving(&mut self, node: &str, incarnation: ids::Incarnation) {
        let member = self.all.get_mut(node);
        if let Some(member) = member.filter(|member| member.incarnation == Some(incarnation)) {
            member.leaving = true;
        }
    }

    /// What is known of a process.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&membership::Member<T>> {
        self.all.get(node)
    }

    /// Whether a process may be given new work.
    #[must_use]
    pub fn is_usable(&self, node: &str, now: time::Instant) -> bool {
        self.all.get(node).is_some_and(|member| self.usable_now(member, now))
    }

    /// The processes that may be given new work, by name.
    pub fn usable(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&str, &membership::Member<T>)> {
        let usable = self.all.iter().filter(move |(_, member)| self.usable_now(member, now));
        usable.map(|(node, member)| (node.as_str(), member))
    }

    /// The processes that are listed or told of but silent, by name; they should be greeted.
    pub fn silent(&self, now: time::Instant) -> impl Iterator<Item = &str> {
        let silence = self.rules.silence_timeout;
        let silent = self.all.iter().filter(move |(_, member)| !speaks(member, silence, now));
        silent.map(|(node, _)| node.as_str())
    }

    /// How many processes are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no process is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Forgets processes that are neither listed nor were seen lately.
    pub fn remove_expired(&mut self, now: time::Instant) {
        let memory = self.rules.retention;
        self.all.retain(|_, member| {
            member.listing != membership::Listing::Absent
                || now.saturating_duration_since(member.last_seen) < memory
        });
    }

    fn usable_now(&self, member: &membership::Member<T>, now: time::Instant) -> bool {
        let leaving = member.leaving || member.listing == membership::Listing::Leaving;
        !leaving && speaks(member, self.rules.silence_timeout, now)
    }

    /// The entry of a process, made if there is room; room is made by forgetting the process that
    /// is not listed and was seen longest ago.
    fn admit(&mut self, node: &str, now: time::Instant) -> Option<&mut membership::Member<T>> {
        if !self.all.contains_key(node) {
            if self.all.len() >= self.rules.capacity {
                self.evict(now);
            }
            if self.all.len() >= self.rules.capacity {
                return None;
            }
            self.all.insert(node.to_owned(), membership::Member::new(now));
        }
        self.all.get_mut(node)
    }

    /// Forgets the silent and unlisted process that was seen longest ago.
    fn evict(&mut self, now: time::Instant) {
        let silence = self.rules.silence_timeout;
        let idle = self.all.iter().filter(|(_, member)| {
            member.listing == membership::Listing::Absent && !speaks(member, silence, now)
        });
        let oldest = idle.min_by_key(|(_, member)| member.last_seen).map(|(node, _)| node.clone());
        if let Some(node) = oldest {
            self.all.remove(&node);
        }
    }
}

/// Whether a process spoke within `silence`.
fn speaks<T>(
    member: &membership::Member<T>,
    silence: std::time::Duration,
    now: time::Instant,
) -> bool {
    member.last_message.is_some_and(|at| now.saturating_duration_since(at) < silence)
}
