//! Copies of usage records that an entry keeps until they are durable.

use std::collections;
use std::sync;
use std::time;

use azuregap_core::ids;
use azuregap_wire::control;
use tokio::time::Instant;

use super::recorder;

/// How long an agent may be gone before its records are written by the entry.
pub(super) const GONE: time::Duration = time::Duration::from_secs(10);

/// An agent at one incarnation.
type Source = (ids::NodeId, ids::Incarnation);

#[derive(Debug, Default)]
struct State {
    kept: collections::HashMap<Source, Vec<control::UsageRecord>>,
    gone: collections::HashMap<Source, Instant>,
}

/// Copies of the records of requests that went through this entry; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    state: sync::Arc<sync::Mutex<State>>,
    orphans: recorder::Recorder,
}

impl Copies {
    /// Name in the registry.
    pub const NAME: &'static str = "usage-copies";

    /// Keeps a copy of `record` until its agent says that it is durable.
    pub fn keep(&self, record: control::UsageRecord) {
        let source = (record.agent.clone(), record.incarnation);
        self.lock().kept.entry(source).or_default().push(record);
    }

    /// How many copies are kept, with those being written by this entry.
    #[must_use]
    pub fn kept(&self) -> u64 {
        let kept: usize = self.lock().kept.values().map(Vec::len).sum();
        kept as u64 + self.orphans.unflushed()
    }

    /// The smallest window of a kept copy.
    #[must_use]
    pub fn oldest(&self) -> Option<u64> {
        let state = self.lock();
        let kept = state.kept.values().flatten().map(|record| record.window).min();
        kept.into_iter().chain(self.orphans.oldest()).min()
    }

    /// The recorder of records that this entry writes itself.
    #[must_use]
    pub const fn orphans(&self) -> &recorder::Recorder {
        &self.orphans
    }

    /// The copies of each agent that have to be asked for.
    #[must_use]
    pub fn by_source(&self) -> Vec<(Source, Vec<control::UsageRecord>)> {
        let state = self.lock();
        state.kept.iter().map(|(source, records)| (source.clone(), records.clone())).collect()
    }

    /// Drops the copies of requests whose records are durable.
    pub fn settle(&self, ids: &[ids::RequestId]) {
        let ids: collections::HashSet<_> = ids.iter().collect();
        let mut state = self.lock();
        for records in state.kept.values_mut() {
            records.retain(|record| !ids.contains(&record.id));
        }
        state.kept.retain(|_, records| !records.is_empty());
    }

    /// Takes over the copies of agents that `lives` has refused for ten seconds.
    pub fn adopt(&self, lives: impl Fn(&str, ids::Incarnation) -> bool, now: Instant) {
        let mut state = self.lock();
        let State { kept, gone } = &mut *state;
        gone.retain(|source, _| kept.contains_key(source) && !lives(&source.0, source.1));
        for source in kept.keys().filter(|source| !lives(&source.0, source.1)) {
            gone.entry(source.clone()).or_insert(now);
        }
        let settled = |source: &Source| {
            gone.get(source).is_some_and(|since| now.duration_since(*since) >= GONE)
        };
        for (_, records) in kept.extract_if(|source, _| settled(source)) {
            for record in records {
                self.orphans.record(record);
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
