//! Copies of records at an entry.

use std::collections;

use crate::ids;
use crate::ledger;

/// Copies of records that an entry keeps until the records are durable.
#[derive(Clone, Debug, Default)]
pub struct RecordCopies {
    records: collections::BTreeMap<ids::RequestId, ledger::Record>,
}

impl RecordCopies {
    /// Creates an empty set of copies.
    #[must_use]
    pub const fn new() -> Self {
        Self { records: collections::BTreeMap::new() }
    }

    /// Inserts a copy. A record counted by an agent replaces one counted by the entry.
    pub fn insert(&mut self, record: ledger::Record) {
        let existing = self.records.get(&record.id).map(|existing| existing.counter);
        if existing.is_none_or(|existing| existing < record.counter) {
            self.records.insert(record.id, record);
        }
    }

    /// Removes the copies of durable records.
    pub fn remove_durable(&mut self, ids: &[ids::RequestId]) {
        ids.iter().for_each(|id| {
            self.records.remove(id);
        });
    }

    /// The requests with copies from an incarnation of an agent. The agent is queried periodically
    /// for those that are not durable yet, because a notification may be lost.
    pub fn request_ids(
        &self,
        agent: &str,
        incarnation: ids::Incarnation,
    ) -> impl Iterator<Item = ids::RequestId> {
        let from_agent = move |record: &&ledger::Record| {
            record.agent == agent && record.incarnation == incarnation
        };
        self.records.values().filter(from_agent).map(|record| record.id)
    }

    /// Removes and returns the copies from a dead incarnation of an agent, for the entry to write
    /// itself.
    pub fn take_orphans(
        &mut self,
        agent: &str,
        incarnation: ids::Incarnation,
    ) -> Vec<ledger::Record> {
        let is_orphan =
            |record: &ledger::Record| record.agent == agent && record.incarnation == incarnation;
        self.records
            .extract_if(.., |_, record| is_orphan(record))
            .map(|(_, record)| record)
            .collect()
    }

    /// Whether there are no copies for this or an earlier window.
    #[must_use]
    pub fn is_drained(&self, window: ids::WindowId) -> bool {
        self.records.values().all(|record| record.window > window)
    }

    /// Number of copies.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no copies.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
