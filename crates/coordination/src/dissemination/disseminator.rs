//! The spreading of versions as one process sees it.

use smallvec::SmallVec;
use tokio::time;

use crate::configuration;
use crate::dissemination;
use crate::ids;

/// Actions that one event asks for.
type Actions = SmallVec<[dissemination::Action; 4]>;

/// The spreading of versions as one process sees it; one question or read is under way at a time.
#[derive(Clone, Debug)]
pub struct Disseminator {
    place: dissemination::TreePosition,
    pace: configuration::JitteredBackoff,
    version: ids::Version,
    /// When to ask or read next; none before the first time.
    next: Option<time::Instant>,
    /// A question or read is under way.
    asking: bool,
    /// It was asked out of turn, because somebody was ahead.
    out_of_turn: bool,
    /// Questions in a row that were not answered.
    misses: usize,
    /// Who was seen to have a newer version while a question was under way.
    ahead: Option<ids::NodeId>,
}

impl Disseminator {
    /// A process that knows no member yet; its incarnation is a good seed.
    #[must_use]
    pub fn new(rules: &dissemination::RelayOptions, seed: u64) -> Self {
        Self {
            place: dissemination::TreePosition {
                is_reader: true,
                ..dissemination::TreePosition::default()
            },
            pace: configuration::JitteredBackoff::new(rules.interval, seed),
            version: 0,
            next: None,
            asking: false,
            out_of_turn: false,
            misses: 0,
            ahead: None,
        }
    }

    /// Sets the place in the tree, after the members of the zone changed.
    pub fn set_position(&mut self, place: dissemination::TreePosition) {
        if place != self.place {
            self.misses = 0;
            self.place = place;
        }
    }

    /// The place in the tree.
    #[must_use]
    pub const fn position(&self) -> &dissemination::TreePosition {
        &self.place
    }

    /// Takes in what happened and tells what to do.
    pub fn handle(&mut self, event: dissemination::Event, now: time::Instant) -> Actions {
        let mut actions = Actions::new();
        match event {
            dissemination::Event::Tick => {}
            dissemination::Event::PeerVersion { from, version } if version > self.version => {
                self.ahead = Some(from);
            }
            dissemination::Event::PeerVersion { .. } => {}
            dissemination::Event::Answered => self.on_answer(now),
            dissemination::Event::Failed => self.on_failure(now),
            dissemination::Event::Applied(version) => self.on_news(version, &mut actions),
        }
        self.ask(now, &mut actions);
        actions
    }

    /// A newer version is in force here: the children are told.
    fn on_news(&mut self, version: ids::Version, actions: &mut Actions) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.ahead = None;
        actions.extend(self.place.children.iter().cloned().map(dissemination::Action::Notify));
    }

    /// The next question in turn waits for the interval.
    fn on_answer(&mut self, now: time::Instant) {
        self.asking = false;
        if !std::mem::take(&mut self.out_of_turn) {
            self.misses = 0;
            self.next = Some(self.pace.after_success(now));
        }
    }

    /// The next source is asked at once; after the last one, later.
    fn on_failure(&mut self, now: time::Instant) {
        self.asking = false;
        if std::mem::take(&mut self.out_of_turn) {
            return;
        }
        self.misses += 1;
        let tried_all = self.misses > self.place.sources.len();
        self.next = Some(if tried_all { self.pace.after_failure(now) } else { now });
    }

    /// Asks if somebody is ahead or if it is time.
    fn ask(&mut self, now: time::Instant, actions: &mut Actions) {
        if self.asking {
            return;
        }
        if let Some(ahead) = self.ahead.take() {
            (self.asking, self.out_of_turn) = (true, true);
            actions.push(dissemination::Action::Query(ahead));
            return;
        }
        let next = self.next.unwrap_or(now);
        if now < next {
            actions.push(dissemination::Action::Wait(next));
            return;
        }
        self.asking = true;
        actions.push(self.source());
    }

    /// Whom to ask, or to read: a reader begins with its own read, others end with one.
    fn source(&self) -> dissemination::Action {
        let sources = &self.place.sources;
        let turn = self.misses % (sources.len() + 1);
        let index = if self.place.is_reader { turn.checked_sub(1) } else { Some(turn) };
        match index.and_then(|index| sources.get(index)) {
            Some(source) => dissemination::Action::Query(source.clone()),
            None => dissemination::Action::Read,
        }
    }
}
