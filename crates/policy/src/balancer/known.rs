//! What an entry knows of one replica.

use std::time::Duration;

use tokio::time;
use xxhash_rust::xxh3;

use super::health;
use super::load;
use super::observation;
use super::replica;

/// A report older than this says nothing about the present load.
const REPORT_LIFE: Duration = Duration::from_secs(10);

/// A replica with all that the entry knows of it.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) replica: replica::Replica,
    pub(super) hash: u64,
    pub(super) health: health::Health,
    /// How much slower than its peers, at least about 1.
    pub(super) slowness: f32,
    /// Whether the agent itself said that it is leaving.
    pub(super) left: bool,
    load: load::Load,
    heard: Option<time::Instant>,
    /// Requests sent that no report can include yet.
    pending: u32,
    /// Own requests that run or wait there.
    own: u32,
}

impl Known {
    pub(super) fn new(replica: replica::Replica) -> Self {
        Self {
            hash: xxh3::xxh3_64(replica.node.as_bytes()),
            replica,
            health: health::Health::default(),
            slowness: 1.0,
            left: false,
            load: load::Load::default(),
            heard: None,
            pending: 0,
            own: 0,
        }
    }

    pub(super) fn is_open(&self) -> bool {
        self.replica.ready && !self.replica.leaving && !self.left
    }

    pub(super) fn report(&mut self, load: load::Load, now: time::Instant) {
        self.load = load;
        self.heard = Some(now);
    }

    pub(super) fn sent(&mut self) {
        self.pending += 1;
    }

    pub(super) fn observe(&mut self, observation: observation::Observation, now: time::Instant) {
        match observation {
            observation::Observation::Accepted => {
                self.pending = self.pending.saturating_sub(1);
                self.own += 1;
            }
            observation::Observation::Cancelled => self.pending = self.pending.saturating_sub(1),
            observation::Observation::Refused => self.answered(),
            observation::Observation::Leaving => {
                self.answered();
                self.left = true;
            }
            observation::Observation::Unreachable => {
                self.pending = self.pending.saturating_sub(1);
                self.health.failed(now);
            }
            observation::Observation::FirstByte { elapsed } => self.health.first_byte(elapsed),
            observation::Observation::Progress { tokens, elapsed } => {
                self.health.progress(tokens, elapsed);
            }
            observation::Observation::Done => {
                self.own = self.own.saturating_sub(1);
                self.health.served();
            }
            observation::Observation::Interrupted => {
                self.own = self.own.saturating_sub(1);
                self.health.broke(now);
            }
        }
    }

    fn answered(&mut self) {
        self.pending = self.pending.saturating_sub(1);
        self.health.served();
    }

    /// Estimated requests for each slot once one more is sent, slow replicas counting for more.
    pub(super) fn fill(&self, now: time::Instant) -> f32 {
        let fresh = |at: time::Instant| now.saturating_duration_since(at) <= REPORT_LIFE;
        let reported =
            if self.heard.is_some_and(fresh) { self.load.running + self.load.waiting } else { 0 };
        let slots = if self.load.slots > 0 { self.load.slots } else { self.replica.slots };
        let requests = reported.max(self.own) + self.pending + 1;
        requests as f32 / slots.max(1) as f32 * self.slowness.max(1.0)
    }
}
