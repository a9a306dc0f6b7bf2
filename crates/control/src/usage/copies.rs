//! Copies of usage records that an entry retains until they are durable.

use std::collections;
use std::sync;
use std::time;

use azuregap_core::ids;
use azuregap_wire::control;
use tokio::time::Instant;

use super::recorder;

/// Time after which the entry takes over the records of a lost agent.
pub(super) const TAKEOVER_DELAY: time::Duration = time::Duration::from_secs(10);

/// An agent node and its incarnation.
type Source = (ids::NodeId, ids::Incarnation);

#[derive(Debug, Default)]
struct State {
    kept: collections::HashMap<Source, Vec<control::UsageRecord>>,
    lost_since: collections::HashMap<Source, Instant>,
}

/// Copies of the usage records of requests that passed through this entry. Clones share the same
/// copies.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    state: sync::Arc<sync::Mutex<State>>,
    orphans: recorder::Recorder,
}

impl Copies {
    /// Registry name.
    pub const NAME: &'static str = "usage-copies";

    /// Retains a copy of `record` until its agent confirms that it is durable.
    pub fn keep(&self, record: control::UsageRecord) {
        let source = (record.agent.clone(), record.incarnation);
        self.lock().kept.entry(source).or_default().push(record);
    }

    /// Returns the number of retained copies, including those that this entry writes itself.
    #[must_use]
    pub fn kept(&self) -> u64 {
        let kept: usize = self.lock().kept.values().map(Vec::len).sum();
        kept as u64 + self.orphans.unflushed()
    }

    /// Returns the earliest window of the retained copies.
    #[must_use]
    pub fn oldest(&self) -> Option<u64> {
        let state = self.lock();
        let kept = state.kept.values().flatten().map(|record| record.window).min();
        kept.into_iter().chain(self.orphans.oldest()).min()
    }

    /// Returns the recorder of the records that this entry writes itself.
    #[must_use]
    pub const fn orphans(&self) -> &recorder::Recorder {
        &self.orphans
    }

    /// Returns the copies that are awaiting confirmation, by agent.
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

    /// Takes over the copies of agents for which `is_alive` has returned `false` for ten seconds.
    pub fn adopt(&self, is_alive: impl Fn(&str, ids::Incarnation) -> bool, now: Instant) {
        let mut state = self.lock();
        let State { kept, lost_since } = &mut *state;
        lost_since.retain(|source, _| kept.contains_key(source) && !is_alive(&source.0, source.1));
        for source in kept.keys().filter(|source| !is_alive(&source.0, source.1)) {
            lost_since.entry(source.clone()).or_insert(now);
        }
        let is_lost = |source: &Source| {
            lost_since.get(source).is_some_and(|since| now.duration_since(*since) >= TAKEOVER_DELAY)
        };
        for (_, records) in kept.extract_if(|source, _| is_lost(source)) {
            for record in records {
                self.orphans.record(record);
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
