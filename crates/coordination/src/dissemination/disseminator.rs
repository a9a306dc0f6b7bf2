//! State machine that disseminates versions.

use smallvec::SmallVec;
use tokio::time;

use crate::configuration;
use crate::dissemination;
use crate::ids;

/// Actions requested in response to one event.
type Actions = SmallVec<[dissemination::Action; 4]>;

/// Disseminates versions on behalf of one process, with one query or read in progress at a time.
#[derive(Clone, Debug)]
pub struct Disseminator {
    position: dissemination::TreePosition,
    backoff: configuration::JitteredBackoff,
    version: ids::Version,
    /// When to query or read next; `None` before the first time.
    next_query: Option<time::Instant>,
    /// A query or read is in progress.
    query_pending: bool,
    /// The query is unscheduled: it was sent because a peer has a newer version.
    unscheduled: bool,
    /// Number of consecutive failed queries.
    failures: usize,
    /// A peer with a newer version, to be queried next.
    newer_peer: Option<ids::NodeId>,
}

impl Disseminator {
    /// Creates the state of a process that knows no member yet; the incarnation of the process is a
    /// suitable seed.
    #[must_use]
    pub fn new(options: &dissemination::RelayOptions, seed: u64) -> Self {
        Self {
            position: dissemination::TreePosition {
                is_reader: true,
                ..dissemination::TreePosition::default()
            },
            backoff: configuration::JitteredBackoff::new(options.interval, seed),
            version: 0,
            next_query: None,
            query_pending: false,
            unscheduled: false,
            failures: 0,
            newer_peer: None,
        }
    }

    /// Sets the position in the tree after a change of the members of the zone.
    pub fn set_position(&mut self, position: dissemination::TreePosition) {
        if position != self.position {
            self.failures = 0;
            self.position = position;
        }
    }

    /// The position in the tree.
    #[must_use]
    pub const fn position(&self) -> &dissemination::TreePosition {
        &self.position
    }

    /// Handles `event` and returns the actions to carry out.
    pub fn handle(&mut self, event: dissemination::Event, now: time::Instant) -> Actions {
        let mut actions = Actions::new();
        match event {
            dissemination::Event::Tick => {}
            dissemination::Event::PeerVersion { from, version } if version > self.version => {
                self.newer_peer = Some(from);
            }
            dissemination::Event::PeerVersion { .. } => {}
            dissemination::Event::Answered => self.on_answered(now),
            dissemination::Event::Failed => self.on_failure(now),
            dissemination::Event::Applied(version) => self.on_applied(version, &mut actions),
        }
        self.query(now, &mut actions);
        actions
    }

    /// Notifies the children of a newer version.
    fn on_applied(&mut self, version: ids::Version, actions: &mut Actions) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.newer_peer = None;
        actions.extend(self.position.children.iter().cloned().map(dissemination::Action::Notify));
    }

    /// Schedules the next query after the interval.
    fn on_answered(&mut self, now: time::Instant) {
        self.query_pending = false;
        if !std::mem::take(&mut self.unscheduled) {
            self.failures = 0;
            self.next_query = Some(self.backoff.after_success(now));
        }
    }

    /// Queries the next source at once, or backs off after the last one.
    fn on_failure(&mut self, now: time::Instant) {
        self.query_pending = false;
        if std::mem::take(&mut self.unscheduled) {
            return;
        }
        self.failures += 1;
        let tried_all = self.failures > self.position.sources.len();
        self.next_query = Some(if tried_all { self.backoff.after_failure(now) } else { now });
    }

    /// Queries a peer that has a newer version, or the next source if a query is due.
    fn query(&mut self, now: time::Instant, actions: &mut Actions) {
        if self.query_pending {
            return;
        }
        if let Some(peer) = self.newer_peer.take() {
            (self.query_pending, self.unscheduled) = (true, true);
            actions.push(dissemination::Action::Query(peer));
            return;
        }
        let due = self.next_query.unwrap_or(now);
        if now < due {
            actions.push(dissemination::Action::Wait(due));
            return;
        }
        self.query_pending = true;
        actions.push(self.next_source());
    }

    /// The source for the next query. Readers start with a read of the table service, other members
    /// end with one.
    fn next_source(&self) -> dissemination::Action {
        let sources = &self.position.sources;
        let attempt = self.failures % (sources.len() + 1);
        let index = if self.position.is_reader { attempt.checked_sub(1) } else { Some(attempt) };
        match index.and_then(|index| sources.get(index)) {
            Some(source) => dissemination::Action::Query(source.clone()),
            None => dissemination::Action::Read,
        }
    }
}
