//! State machine that commits a configuration change.

use crate::configuration;
use crate::ids;
use crate::store;

/// Number of consecutive failed calls after which the proposal gives up.
const MAX_CONSECUTIVE_FAILURES: u32 = 4;

/// A proposed change that is based on a known version.
///
/// The caller runs one call at a time, and delays repeated calls itself.
#[derive(Clone, Debug)]
pub struct Proposal<T> {
    value: T,
    base: ids::Version,
    change: configuration::AcceptedChange,
    failures: u32,
    /// A write is in progress.
    write_pending: bool,
    /// The outcome of a write is unknown, and reading the row has not resolved it yet.
    write_unknown: bool,
}

impl<T: Clone> Proposal<T> {
    /// Proposes `value`, based on version `base`, as the change with the id `change`.
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
        Self { value, base, change, failures: 0, write_pending: false, write_unknown: false }
    }

    /// Sets the summary of the change, in short lines.
    #[must_use]
    pub fn summary(mut self, lines: impl IntoIterator<Item = String>) -> Self {
        self.change.summary = lines.into_iter().collect();
        self
    }

    /// Whether a write may have been applied, or may still be, without this process knowing it.
    #[must_use]
    pub const fn is_unresolved(&self) -> bool {
        self.write_pending || self.write_unknown
    }

    /// Handles `event` and returns the next action.
    pub fn handle(&mut self, event: configuration::Event<T>) -> configuration::Action<T> {
        match event {
            configuration::Event::Start => {
                self.failures = 0;
                configuration::Action::Read
            }
            configuration::Event::ReadDone(stored) => self.on_read(stored),
            configuration::Event::ReadFailed => self.on_failure(),
            configuration::Event::WriteDone(outcome) => self.on_write_done(outcome),
        }
    }

    /// Determines from the row whether the change was accepted, can be written, or conflicts.
    fn on_read(
        &mut self,
        stored: store::VersionedRow<configuration::ConfigurationRow<T>>,
    ) -> configuration::Action<T> {
        let current = stored.value.as_ref().map_or(0, configuration::ConfigurationRow::version);
        if current == self.base {
            return self.write(stored);
        }
        let Some(row) = stored.value else { return self.conflict(0, Vec::new()) };
        if let Some(accepted) = row.find_change(&self.change.change) {
            return self.settle(configuration::Outcome::Accepted(accepted.version));
        }
        if self.write_unknown && !row.covers(self.base) {
            // The history no longer shows whether the write with the lost response was applied.
            return configuration::Action::Settled(configuration::Outcome::Unknown);
        }
        let since = row.changes_since(self.base).cloned().collect();
        self.conflict(current, since)
    }

    fn write(
        &mut self,
        stored: store::VersionedRow<configuration::ConfigurationRow<T>>,
    ) -> configuration::Action<T> {
        let mut history = vec![self.change.clone()];
        history.extend(stored.value.into_iter().flat_map(|row| row.history));
        history.truncate(configuration::ConfigurationRow::<T>::MAX_HISTORY);
        self.write_pending = true;
        let row = configuration::ConfigurationRow { value: self.value.clone(), history };
        configuration::Action::Write { version: stored.version, row }
    }

    fn on_write_done(&mut self, outcome: store::WriteOutcome) -> configuration::Action<T> {
        self.write_pending = false;
        self.write_unknown |= outcome == store::WriteOutcome::Unknown;
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
        if self.failures < MAX_CONSECUTIVE_FAILURES {
            return configuration::Action::Read;
        }
        let outcome = match self.write_unknown {
            true => configuration::Outcome::Unknown,
            false => configuration::Outcome::Unavailable,
        };
        configuration::Action::Settled(outcome)
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

    fn settle(&mut self, outcome: configuration::Outcome) -> configuration::Action<T> {
        self.write_unknown = false;
        configuration::Action::Settled(outcome)
    }
}
