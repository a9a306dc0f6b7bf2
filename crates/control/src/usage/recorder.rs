//! Usage records of one process that are not durable yet.

use std::collections;
use std::sync;

use azuregap_core::ids;
use azuregap_wire::control;

use super::batch;

/// Records of one batch at most.
const BATCH: usize = 500;

/// Records held in memory before [`Recorder::is_full`] says so.
const CAPACITY: usize = 100_000;

/// Ids of durable records that are remembered.
const REMEMBERED: usize = 200_000;

#[derive(Debug, Default)]
struct State {
    pending: Vec<control::UsageRecord>,
    batches: collections::VecDeque<batch::Batch>,
    unflushed: collections::HashSet<ids::RequestId>,
    durable: collections::HashSet<ids::RequestId>,
    order: collections::VecDeque<ids::RequestId>,
    next: u64,
}

/// Takes usage records and holds them until they are durable; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    state: sync::Arc<sync::Mutex<State>>,
}

impl Recorder {
    /// Name in the registry.
    pub const NAME: &'static str = "usage";

    /// Takes a record; a second one of the same request is dropped.
    pub fn record(&self, record: control::UsageRecord) {
        let mut state = self.lock();
        if state.durable.contains(&record.id) || !state.unflushed.insert(record.id) {
            return;
        }
        state.pending.push(record);
    }

    /// How many records are not durable yet.
    #[must_use]
    pub fn unflushed(&self) -> u64 {
        self.lock().unflushed.len() as u64
    }

    /// Whether memory is used up: the process takes no new work until records became durable.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.lock().unflushed.len() >= CAPACITY
    }

    /// Whether the record of request `id` is durable.
    #[must_use]
    pub fn is_durable(&self, id: ids::RequestId) -> bool {
        self.lock().durable.contains(&id)
    }

    /// The smallest window that still has records that are not durable.
    #[must_use]
    pub fn oldest(&self) -> Option<u64> {
        let state = self.lock();
        let batches = state.batches.iter().flat_map(|batch| &batch.records);
        batches.chain(&state.pending).map(|record| record.window).min()
    }

    /// Puts what is pending into batches and returns the first batch that is not durable.
    pub fn first_batch(&self) -> Option<batch::Batch> {
        let mut state = self.lock();
        state.fill();
        state.batches.front().cloned()
    }

    /// Moves the first batch to `window`; its earlier one was closed before it.
    pub fn rebill_first(&self, window: u64) {
        if let Some(first) = self.lock().batches.front_mut() {
            first.window = window;
        }
    }

    /// Notes that the first batch is durable.
    pub fn mark_first_durable(&self) {
        let mut state = self.lock();
        let Some(batch) = state.batches.pop_front() else { return };
        for record in batch.records {
            state.unflushed.remove(&record.id);
            state.remember(record.id);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl State {
    fn fill(&mut self) {
        let mut windows: collections::BTreeMap<u64, Vec<control::UsageRecord>> =
            collections::BTreeMap::new();
        for record in self.pending.drain(..) {
            windows.entry(record.window).or_default().push(record);
        }
        for (window, records) in windows {
            for part in records.chunks(BATCH) {
                self.next += 1;
                let batch = batch::Batch { window, number: self.next, records: part.to_vec() };
                self.batches.push_back(batch);
            }
        }
    }

    fn remember(&mut self, id: ids::RequestId) {
        self.durable.insert(id);
        self.order.push_back(id);
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.durable.remove(&oldest);
        }
    }
}
