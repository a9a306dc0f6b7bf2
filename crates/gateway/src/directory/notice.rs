//! What is known about runs of backend servers besides their current entries in the store: what they
//! say about themselves in responses, and whether their entries were removed.

use std::collections;
use std::time::Duration;

use azuregap_core::ids;
use tokio::time;

use crate::decision::quiet_period;

/// Maximum number of backend servers whose notices are kept.
const MAX_NOTICES: usize = 4_096;

/// What is known about one run of a backend server.
#[derive(Clone, Copy, Debug, Default)]
struct Notice {
    /// Start of the run; a later run of the same server is not bound by it.
    started_ms: u64,
    leaving: bool,
    /// Whether its entry in the store was removed.
    gone: bool,
    quiet: quiet_period::QuietPeriod,
}

/// The newest notices of backend servers, by id.
///
/// They are kept apart from the directory: a server whose entry in the store expires and is written
/// again is still the same run.
#[derive(Debug, Default)]
pub(super) struct Notices(collections::HashMap<ids::BackendId, Notice>);

impl Notices {
    /// Records that a run is leaving; returns whether this is news.
    pub(super) fn record_leaving(&mut self, id: &str, started_ms: u64) -> bool {
        let notice = self.of_run(id, started_ms);
        !std::mem::replace(&mut notice.leaving, true)
    }

    /// Whether a run is leaving.
    pub(super) fn is_leaving(&self, id: &str, started_ms: u64) -> bool {
        self.find(id, started_ms).is_some_and(|notice| notice.leaving)
    }

    /// Records that the entry of a run was removed from the store.
    pub(super) fn record_gone(&mut self, id: &str, started_ms: u64) {
        let is_superseded = self.0.get(id).is_some_and(|notice| notice.started_ms > started_ms);
        if !is_superseded {
            self.of_run(id, started_ms).gone = true;
        }
    }

    /// Records that a run has an entry in the store.
    pub(super) fn record_presence(&mut self, id: &str, started_ms: u64) {
        if let Some(notice) = self.0.get_mut(id).filter(|notice| notice.started_ms == started_ms) {
            notice.gone = false;
        }
    }

    /// Whether the entry of a run was removed and has not been written again.
    pub(super) fn is_gone(&self, id: &str, started_ms: u64) -> bool {
        self.find(id, started_ms).is_some_and(|notice| notice.gone)
    }

    /// The quiet period of a run.
    pub(super) fn quiet_period_mut(
        &mut self,
        id: &str,
        started_ms: u64,
    ) -> &mut quiet_period::QuietPeriod {
        &mut self.of_run(id, started_ms).quiet
    }

    /// The quiet period of a run, if it has said anything about itself.
    pub(super) fn find_quiet_period(
        &mut self,
        id: &str,
        started_ms: u64,
    ) -> Option<&mut quiet_period::QuietPeriod> {
        let notice = self.0.get_mut(id).filter(|notice| notice.started_ms == started_ms)?;
        Some(&mut notice.quiet)
    }

    /// Time until a run wants requests again.
    pub(super) fn quiet_time_left(
        &self,
        id: &str,
        started_ms: u64,
        now: time::Instant,
    ) -> Duration {
        let notice = self.find(id, started_ms);
        notice.map_or(Duration::ZERO, |notice| notice.quiet.time_left(now))
    }

    fn find(&self, id: &str, started_ms: u64) -> Option<&Notice> {
        self.0.get(id).filter(|notice| notice.started_ms == started_ms)
    }

    /// The notice of a run. A notice of another run of the same server is replaced.
    fn of_run(&mut self, id: &str, started_ms: u64) -> &mut Notice {
        if self.0.len() >= MAX_NOTICES && !self.0.contains_key(id) {
            self.remove_oldest();
        }
        let notice = self.0.entry(id.to_owned()).or_default();
        if notice.started_ms != started_ms {
            *notice = Notice { started_ms, ..Notice::default() };
        }
        notice
    }

    /// Removes the notice of the run that started first.
    fn remove_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, notice)| notice.started_ms);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.0.remove(&id);
        }
    }
}
