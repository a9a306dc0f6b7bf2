//! How long ago the version in force was certainly the newest.

use std::collections;
use std::time;

use tokio::time::Instant;

use crate::configuration;
use crate::ids;

/// How long ago the version in force of one process was certainly the newest accepted one.
///
/// There are three kinds of proof. A read of the table service proves the moment before it was
/// sent. A peer's proof of age `a` proves the moment before the question was sent, less `a`. And
/// if the table service is down, the statements of all acceptors (the processes that may accept
/// changes) together prove the oldest of the moments at which they were asked: a change that none
/// of them accepted was not accepted at all.
#[derive(Clone, Debug)]
pub struct Freshness {
    rules: configuration::FreshnessOptions,
    node: ids::NodeId,
    proved: Option<Instant>,
    acceptors: Vec<ids::NodeId>,
    vouched: collections::BTreeMap<ids::NodeId, Instant>,
}

impl Freshness {
    /// A process that has no proof yet.
    #[must_use]
    pub fn new(node: impl Into<ids::NodeId>, rules: configuration::FreshnessOptions) -> Self {
        Self {
            rules,
            node: node.into(),
            proved: None,
            acceptors: Vec::new(),
            vouched: collections::BTreeMap::new(),
        }
    }

    /// Sets which processes may accept changes, as far as is known; an empty list proves nothing.
    pub fn set_acceptors(&mut self, acceptors: impl IntoIterator<Item = ids::NodeId>) {
        self.acceptors = acceptors.into_iter().collect();
        self.vouched.retain(|node, _| self.acceptors.contains(node));
    }

    /// A read of the table service, sent at `asked`, showed the version in force.
    pub fn confirmed_by_read(&mut self, asked: Instant) {
        self.prove(asked);
    }

    /// A peer with the version in force answered a question sent at `asked` with its proof's age.
    pub fn confirmed_by_peer(&mut self, asked: Instant, age: time::Duration) {
        if let Some(at) = asked.checked_sub(age) {
            self.prove(at);
        }
    }

    /// An acceptor with the version in force, and no change of its own under way, answered a
    /// question sent at `asked`.
    pub fn confirmed_by_acceptor(&mut self, acceptor: &str, asked: Instant) {
        if !self.acceptors.iter().any(|node| node == acceptor) {
            return;
        }
        let at = self.vouched.entry(acceptor.to_owned()).or_insert(asked);
        *at = asked.max(*at);
    }

    /// The moment at which the version in force was certainly the newest. `vouches` tells whether
    /// this process itself has no change under way whose outcome it does not know.
    #[must_use]
    pub fn fresh_at(&self, vouches: bool, now: Instant) -> Option<Instant> {
        self.proved.max(self.vouched_by_all(vouches, now))
    }

    /// Age of the proof, to be relayed to peers.
    #[must_use]
    pub fn age(&self, vouches: bool, now: Instant) -> Option<time::Duration> {
        let proved = self.fresh_at(vouches, now)?;
        Some(now.saturating_duration_since(proved))
    }

    /// Whether requests that need a key may be served.
    #[must_use]
    pub fn may_serve(&self, vouches: bool, now: Instant) -> bool {
        self.age(vouches, now).is_some_and(|age| age <= self.rules.max_staleness)
    }

    /// Proofs count only for the version they were given for; a newer one keeps them, because it
    /// is at least as new.
    fn prove(&mut self, at: Instant) {
        self.proved = self.proved.max(Some(at));
    }

    /// The oldest statement of all acceptors, if each made one.
    fn vouched_by_all(&self, vouches: bool, now: Instant) -> Option<Instant> {
        let moment = |node: &ids::NodeId| match *node == self.node {
            true => vouches.then_some(now),
            false => self.vouched.get(node).copied(),
        };
        self.acceptors.iter().map(moment).min().flatten()
    }
}
