//! Table of known processes.

use std::collections;

use tokio::time;

use crate::ids;
use crate::membership;

/// Table of known processes; `T` is the information that a process publishes about itself.
#[derive(Clone, Debug)]
pub struct Members<T> {
    options: membership::MembershipOptions,
    members: collections::BTreeMap<ids::NodeId, membership::Member<T>>,
}

impl<T> Members<T> {
    /// Creates an empty table.
    #[must_use]
    pub const fn new(options: membership::MembershipOptions) -> Self {
        Self { options, members: collections::BTreeMap::new() }
    }

    /// Applies the platform's list.
    pub fn update_listing(
        &mut self,
        entries: impl IntoIterator<Item = (ids::NodeId, membership::Listing)>,
        now: time::Instant,
    ) {
        for member in self.members.values_mut() {
            member.listing = membership::Listing::Absent;
        }
        for (node, listing) in entries {
            if let Some(member) = self.get_or_insert(&node, now) {
                member.listing = listing;
                member.last_seen = now;
            }
        }
        self.remove_expired(now);
    }

    /// Records a message received directly from a process.
    pub fn record_message(
        &mut self,
        node: &str,
        incarnation: ids::Incarnation,
        info: T,
        now: time::Instant,
    ) -> membership::MessageOutcome {
        let Some(member) = self.get_or_insert(node, now) else {
            return membership::MessageOutcome::Full;
        };
        if member.former.contains(&incarnation) {
            return membership::MessageOutcome::Stale;
        }
        let outcome = match member.incarnation {
            None => membership::MessageOutcome::New,
            Some(current) if current == incarnation => membership::MessageOutcome::Known,
            Some(_) => membership::MessageOutcome::Restarted,
        };
        if outcome == membership::MessageOutcome::Restarted {
            member.retire_incarnation();
            member.leaving = false;
        }
        member.incarnation = Some(incarnation);
        member.info = Some(info);
        member.last_message = Some(now);
        member.last_seen = now;
        outcome
    }

    /// Records information about a process from a third process. It is ignored unless the process
    /// itself has been silent for the timeout.
    pub fn record_gossip(&mut self, node: &str, info: T, now: time::Instant) {
        let timeout = self.options.silence_timeout;
        let Some(member) = self.get_or_insert(node, now) else { return };
        if !is_responsive(member, timeout, now) {
            member.info = Some(info);
            member.last_seen = now;
        }
    }

    /// Records that a process announced the shutdown of this incarnation.
    pub fn mark_leaving(&mut self, node: &str, incarnation: ids::Incarnation) {
        let member = self.members.get_mut(node);
        if let Some(member) = member.filter(|member| member.incarnation == Some(incarnation)) {
            member.leaving = true;
        }
    }

    /// The state of a process, if it is known.
    #[must_use]
    pub fn get(&self, node: &str) -> Option<&membership::Member<T>> {
        self.members.get(node)
    }

    /// Whether new work may be assigned to a process.
    #[must_use]
    pub fn is_usable(&self, node: &str, now: time::Instant) -> bool {
        self.members.get(node).is_some_and(|member| self.is_member_usable(member, now))
    }

    /// The processes to which new work may be assigned, by name.
    pub fn usable(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&str, &membership::Member<T>)> {
        let usable =
            self.members.iter().filter(move |(_, member)| self.is_member_usable(member, now));
        usable.map(|(node, member)| (node.as_str(), member))
    }

    /// The known processes that are silent, by name. The caller should contact them.
    pub fn silent(&self, now: time::Instant) -> impl Iterator<Item = &str> {
        let timeout = self.options.silence_timeout;
        let silent =
            self.members.iter().filter(move |(_, member)| !is_responsive(member, timeout, now));
        silent.map(|(node, _)| node.as_str())
    }

    /// Number of known processes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no process is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Removes processes that are not listed and have not been seen for the retention time.
    pub fn remove_expired(&mut self, now: time::Instant) {
        let retention = self.options.retention;
        self.members.retain(|_, member| {
            member.listing != membership::Listing::Absent
                || now.saturating_duration_since(member.last_seen) < retention
        });
    }

    fn is_member_usable(&self, member: &membership::Member<T>, now: time::Instant) -> bool {
        let leaving = member.leaving || member.listing == membership::Listing::Leaving;
        !leaving && is_responsive(member, self.options.silence_timeout, now)
    }

    /// Returns the entry of a process, inserting it if necessary. If the table is full, another
    /// process is evicted; returns `None` if none can be.
    fn get_or_insert(
        &mut self,
        node: &str,
        now: time::Instant,
    ) -> Option<&mut membership::Member<T>> {
        if !self.members.contains_key(node) {
            if self.members.len() >= self.options.capacity {
                self.evict(now);
            }
            if self.members.len() >= self.options.capacity {
                return None;
            }
            self.members.insert(node.to_owned(), membership::Member::new(now));
        }
        self.members.get_mut(node)
    }

    /// Evicts the least recently seen process that is silent and not listed.
    fn evict(&mut self, now: time::Instant) {
        let timeout = self.options.silence_timeout;
        let idle = self.members.iter().filter(|(_, member)| {
            member.listing == membership::Listing::Absent && !is_responsive(member, timeout, now)
        });
        let oldest = idle.min_by_key(|(_, member)| member.last_seen).map(|(node, _)| node.clone());
        if let Some(node) = oldest {
            self.members.remove(&node);
        }
    }
}

/// Whether a message from the process arrived within `timeout`.
fn is_responsive<T>(
    member: &membership::Member<T>,
    timeout: std::time::Duration,
    now: time::Instant,
) -> bool {
    member.last_message.is_some_and(|at| now.saturating_duration_since(at) < timeout)
}
