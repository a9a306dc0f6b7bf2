//! The load and health of one replica, as tracked by an entry.

use std::time::Duration;

use tokio::time;
use xxhash_rust::xxh3;

use super::health;
use super::load;
use super::observation;
use super::replica;

/// Age above which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// A replica with its tracked load and health.
#[derive(Clone, Debug)]
pub(super) struct TrackedReplica {
    pub(super) replica: replica::Replica,
    /// Hash of the node name, for rendezvous hashing.
    pub(super) hash: u64,
    pub(super) health: health::Health,
    /// Latency as a multiple of the peers' median; below 1 for a fast replica.
    pub(super) slowness: f32,
    /// Whether the agent itself has answered that it is leaving.
    pub(super) agent_leaving: bool,
    load: load::Load,
    reported: Option<time::Instant>,
    /// Requests sent that the agent has neither accepted nor refused, so that no load report can
    /// include them.
    pending: u32,
    /// Requests from this entry that the agent has accepted and not ended.
    accepted: u32,
}

impl TrackedReplica {
    pub(super) fn new(replica: replica::Replica) -> Self {
        Self {
            hash: xxh3::xxh3_64(replica.node.as_bytes()),
            replica,
            health: health::Health::default(),
            slowness: 1.0,
            agent_leaving: false,
            load: load::Load::default(),
            reported: None,
            pending: 0,
            accepted: 0,
        }
    }

    /// Whether the replica takes new requests, regardless of its health.
    pub(super) fn is_available(&self) -> bool {
        self.replica.ready && !self.replica.leaving && !self.agent_leaving
    }

    pub(super) fn report(&mut self, load: load::Load, now: time::Instant) {
        self.load = load;
        self.reported = Some(now);
    }

    pub(super) fn count_sent(&mut self) {
        self.pending += 1;
    }

    pub(super) fn observe(&mut self, observation: observation::Observation, now: time::Instant) {
        match observation {
            observation::Observation::Accepted => {
                self.pending = self.pending.saturating_sub(1);
                self.accepted += 1;
            }
            observation::Observation::Cancelled => self.pending = self.pending.saturating_sub(1),
            observation::Observation::Refused => self.record_refusal(),
            observation::Observation::Leaving => {
                self.record_refusal();
                self.agent_leaving = true;
            }
            observation::Observation::Unreachable => {
                self.pending = self.pending.saturating_sub(1);
                self.health.record_failure(now);
            }
            observation::Observation::FirstByte { elapsed } => {
                self.health.record_first_byte(elapsed);
            }
            observation::Observation::Progress { tokens, elapsed } => {
                self.health.record_progress(tokens, elapsed);
            }
            observation::Observation::Done => {
                self.accepted = self.accepted.saturating_sub(1);
                self.health.record_success();
            }
            observation::Observation::Interrupted => {
                self.accepted = self.accepted.saturating_sub(1);
                self.health.record_interruption(now);
            }
        }
    }

    /// A refusal shows that the agent is reachable, so it counts as a success for health.
    fn record_refusal(&mut self) {
        self.pending = self.pending.saturating_sub(1);
        self.health.record_success();
    }

    /// Estimated requests per slot after one more is sent, scaled up for a slow replica.
    pub(super) fn load_factor(&self, now: time::Instant) -> f32 {
        let recent = |at: time::Instant| now.saturating_duration_since(at) <= MAX_REPORT_AGE;
        let reported = if self.reported.is_some_and(recent) {
            self.load.running + self.load.waiting
        } else {
            0
        };
        let slots = if self.load.slots > 0 { self.load.slots } else { self.replica.slots };
        let requests = reported.max(self.accepted) + self.pending + 1;
        requests as f32 / slots.max(1) as f32 * self.slowness.max(1.0)
    }
}
