//! The datagram by which a gateway tells the others of itself.

use std::time::Duration;

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

use crate::decision::priority;
use crate::decision::usage_counts;
use crate::directory;

/// Work of a gateway's requests at one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendLoad {
    /// Hash of the backend server's id.
    pub backend_hash: u32,
    /// Requests with long prompts.
    pub long_prompts: u32,
    /// Work of the ranks that have any.
    pub ranks: Vec<RankEntry>,
}

/// Work of the requests of one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RankEntry {
    /// The rank.
    pub rank: priority::Rank,
    /// Requests sent and not finished.
    pub in_flight: u32,
    /// Prompt tokens of those that have not produced their first event.
    pub pending_prefill: u64,
}

impl From<(u32, &directory::Load)> for BackendLoad {
    fn from((backend, load): (u32, &directory::Load)) -> Self {
        let ranks = (0..).zip(&load.ranks);
        let busy = ranks.filter(|(_, part)| **part != directory::RankLoad::default());
        let share = |(rank, part): (priority::Rank, &directory::RankLoad)| RankEntry {
            rank,
            in_flight: part.in_flight,
            pending_prefill: part.pending_prefill,
        };
        Self {
            backend_hash: backend,
            long_prompts: load.long_prompts,
            ranks: busy.map(share).collect(),
        }
    }
}

impl BackendLoad {
    /// The load at the backend server.
    #[must_use]
    pub fn load(&self) -> directory::Load {
        let mut load =
            directory::Load { long_prompts: self.long_prompts, ..directory::Load::default() };
        for share in &self.ranks {
            let part = directory::RankLoad {
                in_flight: share.in_flight,
                pending_prefill: share.pending_prefill,
            };
            *load.rank_mut(share.rank) += part;
        }
        load
    }
}

/// Requests of one team that began to run in one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageCount {
    /// The window.
    pub window: u64,
    /// Hash of the team's name.
    pub team: usage_counts::TeamHash,
    /// Its requests.
    pub requests: u64,
}

/// What a gateway says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GossipMessage {
    /// Name of the gateway's VM.
    pub node: ids::NodeId,
    /// Tells one start of the process from the next.
    pub incarnation: ids::Incarnation,
    /// Its estimate of the true time when it sent this.
    pub wall_time: Duration,
    /// Its work at backend servers.
    pub loads: Vec<BackendLoad>,
    /// Its counts of the newest windows.
    pub counts: Vec<UsageCount>,
}
