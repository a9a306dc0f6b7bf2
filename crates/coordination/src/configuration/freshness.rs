//! Staleness bound of the current version.

use std::collections;
use std::time;

use tokio::time::Instant;

use crate::configuration;
use crate::ids;

/// The latest instant at which the current version of a process was certainly the newest accepted
/// version.
///
/// There are three ways to establish such an instant:
///
/// * A read of the table service: the instant before the read was sent.
/// * A peer with the same version whose own proof has age `a`: the instant before the query was
///   sent, less `a`.
/// * While the table service is unavailable, confirmations from all acceptors (the processes that
///   may accept changes): the earliest instant at which one of them was queried. A change that none
///   of them accepted has not been accepted at all.
#[derive(Clone, Debug)]
pub struct Freshness {
    options: configuration::FreshnessOptions,
    node: ids::NodeId,
    proved_at: Option<Instant>,
    acceptors: Vec<ids::NodeId>,
    confirmations: collections::BTreeMap<ids::NodeId, Instant>,
}

impl Freshness {
    /// Creates the state of a process without any proof of freshness.
    #[must_use]
    pub fn new(node: impl Into<ids::NodeId>, options: configuration::FreshnessOptions) -> Self {
        Self {
            options,
            node: node.into(),
            proved_at: None,
            acceptors: Vec::new(),
            confirmations: collections::BTreeMap::new(),
        }
    }

    /// Sets the known acceptors. An empty list never proves freshness.
    pub fn set_acceptors(&mut self, acceptors: impl IntoIterator<Item = ids::NodeId>) {
        self.acceptors = acceptors.into_iter().collect();
        self.confirmations.retain(|node, _| self.acceptors.contains(node));
    }

    /// Records that a table service read sent at `sent_at` returned the current version.
    pub fn confirmed_by_read(&mut self, sent_at: Instant) {
        self.advance(sent_at);
    }

    /// Records that a peer with the current version answered a query sent at `sent_at` with a proof
    /// of this `age`.
    pub fn confirmed_by_peer(&mut self, sent_at: Instant, age: time::Duration) {
        if let Some(at) = sent_at.checked_sub(age) {
            self.advance(at);
        }
    }

    /// Records that an acceptor with the current version, and without an unresolved change,
    /// answered a query sent at `sent_at`.
    pub fn confirmed_by_acceptor(&mut self, acceptor: &str, sent_at: Instant) {
        if !self.acceptors.iter().any(|node| node == acceptor) {
            return;
        }
        let at = self.confirmations.entry(acceptor.to_owned()).or_insert(sent_at);
        *at = sent_at.max(*at);
    }

    /// The latest instant at which the current version was certainly the newest. `self_confirms` is
    /// whether this process has no change of its own whose outcome it does not know.
    #[must_use]
    pub fn fresh_at(&self, self_confirms: bool, now: Instant) -> Option<Instant> {
        self.proved_at.max(self.confirmed_by_all(self_confirms, now))
    }

    /// Age of the proof, to be reported to peers.
    #[must_use]
    pub fn age(&self, self_confirms: bool, now: Instant) -> Option<time::Duration> {
        let fresh_at = self.fresh_at(self_confirms, now)?;
        Some(now.saturating_duration_since(fresh_at))
    }

    /// Whether requests that require an API key may be served.
    #[must_use]
    pub fn may_serve(&self, self_confirms: bool, now: Instant) -> bool {
        self.age(self_confirms, now).is_some_and(|age| age <= self.options.max_staleness)
    }

    /// Advances the proven instant. Proofs remain valid when the current version is replaced by a
    /// newer one, because that is at least as recent.
    fn advance(&mut self, at: Instant) {
        self.proved_at = self.proved_at.max(Some(at));
    }

    /// The earliest confirmation among all acceptors, if each has given one.
    fn confirmed_by_all(&self, self_confirms: bool, now: Instant) -> Option<Instant> {
        let confirmed_at = |node: &ids::NodeId| match *node == self.node {
            true => self_confirms.then_some(now),
            false => self.confirmations.get(node).copied(),
        };
        self.acceptors.iter().map(confirmed_at).min().flatten()
    }
}
