//! The datagram by which a gateway tells the others of itself.

use std::time::Duration;

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

use crate::decision::urgency;
use crate::decision::windows;
use crate::directory;

/// Work of a gateway's requests at one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Work {
    /// Hash of the backend server's id.
    pub backend: u32,
    /// Requests with long prompts.
    pub long: u32,
    /// Work of the ranks that have any.
    pub ranks: Vec<Share>,
}

/// Work of the requests of one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Share {
    /// The rank.
    pub rank: urgency::Rank,
    /// Requests sent and not finished.
    pub running: u32,
    /// Prompt tokens of those that have not produced their first event.
    pub prefill: u64,
}

impl From<(u32, &directory::Load)> for Work {
    fn from((backend, load): (u32, &directory::Load)) -> Self {
        let ranks = (0..).zip(&load.ranks);
        let busy = ranks.filter(|(_, part)| **part != directory::Part::default());
        let share = |(rank, part): (urgency::Rank, &directory::Part)| Share {
            rank,
            running: part.running,
            prefill: part.prefill,
        };
        Self { backend, long: load.long, ranks: busy.map(share).collect() }
    }
}

impl Work {
    /// The load at the backend server.
    #[must_use]
    pub fn load(&self) -> directory::Load {
        let mut load = directory::Load { long: self.long, ..directory::Load::default() };
        for share in &self.ranks {
            let part = directory::Part { running: share.running, prefill: share.prefill };
            *load.rank_mut(share.rank) += part;
        }
        load
    }
}

/// Requests of one team that began to run in one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Count {
    /// The window.
    pub window: u64,
    /// Hash of the team's name.
    pub team: windows::TeamHash,
    /// Its requests.
    pub requests: u64,
}

/// What a gateway says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Beacon {
    /// Name of the gateway's VM.
    pub node: ids::NodeId,
    /// Tells one start of the process from the next.
    pub incarnation: ids::Incarnation,
    /// Its estimate of the true time when it sent this.
    pub true_time: Duration,
    /// Its work at backend servers.
    pub work: Vec<Work>,
    /// Its counts of the newest windows.
    pub counts: Vec<Count>,
}
