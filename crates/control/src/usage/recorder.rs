//! Usage records of a process that are not durable yet.

use std::collections;
use std::sync;

use azuregap_core::ids;
use azuregap_wire::control;

use super::batch;

/// Maximum number of records in a batch.
const MAX_BATCH_RECORDS: usize = 500;

/// Number of records in memory at which [`Recorder::is_full`] returns `true`.
const CAPACITY: usize = 100_000;

/// Number of durable record ids that are retained to detect duplicates.
const MAX_DURABLE_IDS: usize = 200_000;

#[derive(Debug, Default)]
struct State {
    pending: Vec<control::UsageRecord>,
    batches: collections::VecDeque<batch::Batch>,
    unflushed: collections::HashSet<ids::RequestId>,
    durable: collections::HashSet<ids::RequestId>,
    durable_order: collections::VecDeque<ids::RequestId>,
    last_number: u64,
}

/// Holds usage records until they are durable. Clones share the same records.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    state: sync::Arc<sync::Mutex<State>>,
}

impl Recorder {
    /// Registry name.
    pub const NAME: &'static str = "usage";

    /// Adds a record; a duplicate for the same request is dropped.
    pub fn record(&self, record: control::UsageRecord) {
        let mut state = self.lock();
        if state.durable.contains(&record.id) || !state.unflushed.insert(record.id) {
            return;
        }
        state.pending.push(record);
    }

    /// Returns the number of records that are not durable yet.
    #[must_use]
    pub fn unflushed(&self) -> u64 {
        self.lock().unflushed.len() as u64
    }

    /// Returns whether the recorder is full. The process then accepts no new requests until records
    /// become durable.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.lock().unflushed.len() >= CAPACITY
    }

    /// Returns whether the record of request `id` is durable.
    #[must_use]
    pub fn is_durable(&self, id: ids::RequestId) -> bool {
        self.lock().durable.contains(&id)
    }

    /// Returns the earliest window with records that are not durable.
    #[must_use]
    pub fn oldest(&self) -> Option<u64> {
        let state = self.lock();
        let batches = state.batches.iter().flat_map(|batch| &batch.records);
        batches.chain(&state.pending).map(|record| record.window).min()
    }

    /// Groups the pending records into batches and returns the first batch that is not durable.
    pub fn first_batch(&self) -> Option<batch::Batch> {
        let mut state = self.lock();
        state.build_batches();
        state.batches.front().cloned()
    }

    /// Moves the first batch to `window`, because its previous window is closed.
    pub fn rebill_first(&self, window: u64) {
        if let Some(first) = self.lock().batches.front_mut() {
            first.window = window;
        }
    }

    /// Marks the first batch as durable.
    pub fn mark_first_durable(&self) {
        let mut state = self.lock();
        let Some(batch) = state.batches.pop_front() else { return };
        for record in batch.records {
            state.unflushed.remove(&record.id);
            state.add_durable(record.id);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    fn build_batches(&mut self) {
        let mut windows: collections::BTreeMap<u64, Vec<control::UsageRecord>> =
            collections::BTreeMap::new();
        for record in self.pending.drain(..) {
            windows.entry(record.window).or_default().push(record);
        }
        for (window, records) in windows {
            for part in records.chunks(MAX_BATCH_RECORDS) {
                self.last_number += 1;
                let batch =
                    batch::Batch { window, number: self.last_number, records: part.to_vec() };
                self.batches.push_back(batch);
            }
        }
    }

    fn add_durable(&mut self, id: ids::RequestId) {
        self.durable.insert(id);
        self.durable_order.push_back(id);
        if self.durable_order.len() > MAX_DURABLE_IDS
            && let Some(oldest) = self.durable_order.pop_front()
        {
            self.durable.remove(&oldest);
        }
    }
}
