//! The processes that one process knows.

use std::collections;

use tokio::time;

use crate::ids;
use crate::membership;

/// The processes that one process knows; `T` is what a process says of itself.
#[derive(Clone, Debug)]
pub struct Members<T> {
    rules: membership::MembershipRules,
    all: collections::BTreeMap<ids::NodeId, membership::Member<T>>,
}

impl<T> Members<T> {
    /// Nobody is known yet.
    #[must_use]
    pub const fn new(rules: membership::MembershipRules) -> Self {
        Self { rules, all: collections::BTreeMap::new() }
    }

    /// The platform's list was read.
    pub fn list(
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
                member.seen = now;
            }
        }
        self.sweep(now);
    }

    /// A process spoke to this one.
    pub fn heard(
        &mut self,
        node: &str,
        incarnation: ids::Incarnation,
        info: T,
        now: time::Instant,
    ) -> membership::Heard {
        let Some(member) = self.admit(node, now) else { return membership::Heard::Full };
        if member.former.contains(&incarnation) {
            return membership::Heard::Former;
        }
        let heard = match member.incarnation {
            None => membership::Heard::New,
            Some(present) if present == incarnation => membership::Heard::Known,
            Some(_) => membership::Heard::Restarted,
        };
        if heard == membership::Heard::Restarted {
            member.retire();
            member.leaving = false;
        }
        member.incarnation = Some(incarnation);
        member.info = Some(info);
        member.heard = Some(now);
        member.seen = now;
        heard
    }

    /// A third process told of one that has not spoken itself lately; it may be greeted.
    pub fn told(&mut self, node: &str, info: T, now: time::Instant) {
        let silence = self.rules.silence;
        let Some(member) = self.admit(node, now) else { return };
        if !speaks(member, silence, now) {
            member.info = Some(info);
            member.seen = now;
        }
    }

    /// A process said that this incarnation of it leaves.
    pub fn leaving(&mut self, node: &str, incarnation: ids::Incarnation) {
        let member = self.all.get_mut(node);
        if let Some(member) = member.filter(|member| member.incarnation == Some(incarnation)) {
            member.leaving = true;
        }
    }

    /// What is known of a process.
    #[must_use]
    pub fn find(&self, node: &str) -> Option<&membership::Member<T>> {
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
        let silence = self.rules.silence;
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
    pub fn sweep(&mut self, now: time::Instant) {
        let memory = self.rules.memory;
        self.all.retain(|_, member| {
            member.listing != membership::Listing::Absent
                || now.saturating_duration_since(member.seen) < memory
        });
    }

    fn usable_now(&self, member: &membership::Member<T>, now: time::Instant) -> bool {
        let leaving = member.leaving || member.listing == membership::Listing::Leaving;
        !leaving && speaks(member, self.rules.silence, now)
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
        let silence = self.rules.silence;
        let idle = self.all.iter().filter(|(_, member)| {
            member.listing == membership::Listing::Absent && !speaks(member, silence, now)
        });
        let oldest = idle.min_by_key(|(_, member)| member.seen).map(|(node, _)| node.clone());
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
    member.heard.is_some_and(|at| now.saturating_duration_since(at) < silence)
}
