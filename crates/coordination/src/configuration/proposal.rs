//! The acceptance of one change.

use crate::configuration;
use crate::ids;
use crate::store;

/// Calls without a result in a row after which the proposer is told so.
const MAX_FAILURES: u32 = 4;

/// The acceptance of one change that was made from a known version.
///
/// The caller carries one call at a time and paces repeated calls itself.
#[derive(Clone, Debug)]
pub struct Proposal<T> {
    value: T,
    base: ids::Version,
    change: configuration::AcceptedChange,
    failures: u32,
    /// A write is under way.
    pending: bool,
    /// A write was not answered, and the row was not seen to have moved since.
    unknown: bool,
}

impl<T: Clone> Proposal<T> {
    /// Proposes `value`, made from version `base`, as the change `change`.
    #[must_use]
    pub fn new(
        value: T,
        base: ids::Version,
        change: impl Into<ids::ChangeId>,
        author: impl Into<String>,
    ) -> Self {
        let change = configuration::AcceptedChange {
            version: base + 1,
            change: change.into(),
            author: author.into(),
            summary: Vec::new(),
        };
        Self { value, base, change, failures: 0, pending: false, unknown: false }
    }

    /// Says what the change does, one short line each.
    #[must_use]
    pub fn summary(mut self, lines: impl IntoIterator<Item = String>) -> Self {
        self.change.summary = lines.into_iter().collect();
        self
    }

    /// Whether a write may still be applied of which this process knows nothing.
    #[must_use]
    pub const fn is_unresolved(&self) -> bool {
        self.pending || self.unknown
    }

    /// Takes in what happened and tells what to do next.
    pub fn handle(&mut self, event: configuration::Event<T>) -> configuration::Action<T> {
        match event {
            configuration::Event::Start => {
                self.failures = 0;
                configuration::Action::Read
            }
            configuration::Event::ReadDone(stored) => self.on_read(stored),
            configuration::Event::ReadFailed => self.on_failure(),
            configuration::Event::WriteDone(outcome) => self.on_wrote(outcome),
        }
    }

    /// The row was read: it tells whether the change is in, can be written, or lost the race.
    fn on_read(
        &mut self,
        stored: store::VersionedRow<configuration::ConfigurationRow<T>>,
    ) -> configuration::Action<T> {
        let in_force = stored.value.as_ref().map_or(0, configuration::ConfigurationRow::version);
        if in_force == self.base {
            return self.write(stored);
        }
        let Some(row) = stored.value else { return self.conflict(0, Vec::new()) };
        if let Some(accepted) = row.find_change(&self.change.change) {
            return self.settle(configuration::Outcome::Accepted(accepted.version));
        }
        if self.unknown && !row.covers(self.base) {
            // The history no longer tells whether the lost write was applied.
            return configuration::Action::Settled(configuration::Outcome::Unknown);
        }
        let since = row.changes_since(self.base).cloned().collect();
        self.conflict(in_force, since)
    }

    fn write(
        &mut self,
        stored: store::VersionedRow<configuration::ConfigurationRow<T>>,
    ) -> configuration::Action<T> {
        let mut history = vec![self.change.clone()];
        history.extend(stored.value.into_iter().flat_map(|row| row.history));
        history.truncate(configuration::ConfigurationRow::<T>::MAX_HISTORY);
        self.pending = true;
        let row = configuration::ConfigurationRow { value: self.value.clone(), history };
        configuration::Action::Write { version: stored.version, row }
    }

    fn on_wrote(&mut self, outcome: store::WriteOutcome) -> configuration::Action<T> {
        self.pending = false;
        self.unknown |= outcome == store::WriteOutcome::Unknown;
        match outcome {
            store::WriteOutcome::Applied(_) => {
                self.settle(configuration::Outcome::Accepted(self.change.version))
            }
            store::WriteOutcome::Conflict => configuration::Action::Read,
            store::WriteOutcome::Refused | store::WriteOutcome::Unknown => self.on_failure(),
        }
    }

    fn on_failure(&mut self) -> configuration::Action<T> {
        self.failures += 1;
        if self.failures < MAX_FAILURES {
            return configuration::Action::Read;
        }
        let verdict = match self.unknown {
            true => configuration::Outcome::Unknown,
            false => configuration::Outcome::Unavailable,
        };
        configuration::Action::Settled(verdict)
    }

    fn conflict(
        &mut self,
        version: ids::Version,
        since: Vec<configuration::AcceptedChange>,
    ) -> configuration::Action<T> {
        let base = self.base;
        let conflict = configuration::Conflict { base, version, since };
        self.settle(configuration::Outcome::Conflict(conflict))
    }

    fn settle(&mut self, verdict: configuration::Outcome) -> configuration::Action<T> {
        self.unknown = false;
        configuration::Action::Settled(verdict)
    }
}
