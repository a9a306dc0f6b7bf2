//! The copies of records that an entry keeps until they are durable.

use std::collections;

use crate::ids;
use crate::ledger;

/// The copies of records that an entry keeps until they are durable.
#[derive(Clone, Debug, Default)]
pub struct RecordCopies {
    all: collections::BTreeMap<ids::RequestId, ledger::Record>,
}

impl RecordCopies {
    /// No copies.
    #[must_use]
    pub const fn new() -> Self {
        Self { all: collections::BTreeMap::new() }
    }

    /// Keeps a copy; what an agent counted replaces what the entry counted.
    pub fn insert(&mut self, record: ledger::Record) {
        let present = self.all.get(&record.id).map(|present| present.counter);
        if present.is_none_or(|present| present < record.counter) {
            self.all.insert(record.id, record);
        }
    }

    /// Drops the copies of records that are durable.
    pub fn remove_durable(&mut self, ids: &[ids::RequestId]) {
        ids.iter().for_each(|id| {
            self.all.remove(id);
        });
    }

    /// The requests of an incarnation of an agent whose records are kept; the agent is asked now
    /// and then which of them it still holds, because a notice may be lost.
    pub fn request_ids(
        &self,
        agent: &str,
        incarnation: ids::Incarnation,
    ) -> impl Iterator<Item = ids::RequestId> {
        let of = move |record: &&ledger::Record| {
            record.agent == agent && record.incarnation == incarnation
        };
        self.all.values().filter(of).map(|record| record.id)
    }

    /// Takes the copies of an incarnation of an agent that is gone; the entry writes them itself.
    pub fn take_orphans(
        &mut self,
        agent: &str,
        incarnation: ids::Incarnation,
    ) -> Vec<ledger::Record> {
        let gone =
            |record: &ledger::Record| record.agent == agent && record.incarnation == incarnation;
        self.all.extract_if(.., |_, record| gone(record)).map(|(_, record)| record).collect()
    }

    /// Whether no copy is kept for this or an earlier window.
    #[must_use]
    pub fn is_drained(&self, window: ids::WindowId) -> bool {
        self.all.values().all(|record| record.window > window)
    }

    /// How many copies are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether no copy is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}
