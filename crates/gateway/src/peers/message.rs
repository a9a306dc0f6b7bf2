//! The datagram in which a gateway describes itself to others.

use std::time::Duration;

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

use super::news;
use super::notice;
use crate::codec;
use crate::decision::backend_limit;
use crate::decision::priority;
use crate::decision::quarantine;
use crate::decision::usage_counts;
use crate::directory;

/// Latest time of day in a message, in seconds since 1970: the year 2242.
const MAX_WALL_TIME: Duration = Duration::from_secs(1 << 33);

/// Largest window number, count of requests and number of prompt tokens in a message.
const MAX_NUMBER: u64 = 1 << 40;

/// Most requests of one gateway at one backend server.
const MAX_IN_FLIGHT: u32 = 1 << 20;

/// Load of a gateway's requests at one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendLoad {
    /// Hash of the backend server's id.
    pub backend_hash: u32,
    /// Requests with long prompts.
    pub long_prompts: u32,
    /// Load of each rank that has any.
    pub ranks: Vec<RankEntry>,
}

/// Load of the requests of one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RankEntry {
    /// The rank.
    pub rank: priority::Rank,
    /// Requests that were sent and have not ended.
    pub in_flight: u32,
    /// Prompt tokens of those of them that have not produced their first event.
    pub pending_prefill: u64,
}

impl From<(u32, &directory::Load)> for BackendLoad {
    fn from((backend_hash, load): (u32, &directory::Load)) -> Self {
        let ranks = (0..).zip(&load.ranks);
        let busy = ranks.filter(|(_, load)| **load != directory::RankLoad::default());
        let entry = |(rank, load): (priority::Rank, &directory::RankLoad)| RankEntry {
            rank,
            in_flight: load.in_flight,
            pending_prefill: load.pending_prefill,
        };
        Self { backend_hash, long_prompts: load.long_prompts, ranks: busy.map(entry).collect() }
    }
}

impl BackendLoad {
    /// The load at the backend server.
    #[must_use]
    pub fn load(&self) -> directory::Load {
        let mut load =
            directory::Load { long_prompts: self.long_prompts, ..directory::Load::default() };
        for entry in &self.ranks {
            let rank_load = directory::RankLoad {
                in_flight: entry.in_flight,
                pending_prefill: entry.pending_prefill,
            };
            *load.rank_mut(entry.rank) += rank_load;
        }
        load
    }
}

/// Requests of one team that started to run in one window.
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

/// A prompt segment that a backend server has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct CachedSegment {
    /// Hash of the backend server's id.
    pub backend_hash: u32,
    /// The segment.
    pub segment: codec::SegmentId,
}

/// State of a gateway that it sends to other gateways.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GossipMessage {
    /// Name of the gateway's VM.
    pub node: ids::NodeId,
    /// Distinguishes one start of the process from the next.
    pub incarnation: ids::Incarnation,
    /// Time of day at the gateway when it sent the message; its local clock unless that is wrong.
    pub wall_time: Duration,
    /// Its load at backend servers.
    pub loads: Vec<BackendLoad>,
    /// Its usage counts of the newest windows.
    pub counts: Vec<UsageCount>,
    /// Its part in usage reporting; `None` from a gateway of an earlier version.
    #[serde(skip)]
    pub notice: Option<notice::UsageNotice>,
    /// Prompt segments that backend servers have read since the last message; empty from a gateway
    /// of an earlier version.
    #[serde(skip)]
    pub cached: Vec<CachedSegment>,
    /// What the recipient passes on if it is new to it; empty from a gateway of an earlier version.
    #[serde(skip)]
    pub news: news::News,
    /// Limits that backend servers name; empty from a gateway of an earlier version.
    #[serde(skip)]
    pub limits: Vec<backend_limit::ToldLimit>,
    /// Whether the sender has registered and waits for a message that shows that the recipient knows
    /// it.
    #[serde(skip)]
    pub is_introduction: bool,
    /// What may have crashed backend servers; `None` from a gateway of an earlier version, which tells
    /// of segments only.
    #[serde(skip)]
    pub suspects: Option<Vec<quarantine::Suspect>>,
    /// Names of teams with counts in the message that the configuration in force at the sender doesn't
    /// list; empty from a gateway of an earlier version.
    #[serde(skip)]
    pub teams: Vec<ids::TeamId>,
}

impl GossipMessage {
    /// Encodes the message as a datagram.
    ///
    /// The fields from the notice on follow those that every version knows; gateways of earlier
    /// versions ignore bytes after those that they know.
    ///
    /// # Panics
    ///
    /// Never: all fields can be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).expect("a message can be encoded");
        if let Some(notice) = &self.notice {
            bytes = postcard::to_extend(notice, bytes).expect("a notice can be encoded");
            bytes = postcard::to_extend(&self.cached, bytes).expect("segments can be encoded");
            bytes = postcard::to_extend(&self.news, bytes).expect("news can be encoded");
            let rest = (&self.limits, self.is_introduction);
            bytes = postcard::to_extend(&rest, bytes).expect("limits can be encoded");
            if let Some(suspects) = &self.suspects {
                let rest = (suspects, &self.teams);
                bytes = postcard::to_extend(&rest, bytes).expect("suspects can be encoded");
            }
        }
        bytes
    }

    /// Removes counts of a process that were passed on by another one: the recipient's own counts,
    /// which it knows better and must not add twice.
    pub fn discard_relayed(&mut self, node: &str, incarnation: ids::Incarnation) {
        if let Some(notice) = &mut self.notice {
            notice
                .relayed
                .retain(|counts| counts.node != node || counts.incarnation != incarnation);
        }
    }

    /// What the sender tells of suspects, whatever its version is.
    #[must_use]
    pub fn told_suspects(&self) -> Vec<quarantine::Suspect> {
        let segments = || self.news.segments.iter().cloned().map(quarantine::Suspect::from);
        self.suspects.clone().unwrap_or_else(|| segments().collect())
    }

    /// Whether all figures are possible, so that sums of them don't overflow.
    fn is_plausible(&self) -> bool {
        let is_count = |count: &UsageCount| count.window.max(count.requests) <= MAX_NUMBER;
        let is_load = |load: &BackendLoad| {
            load.long_prompts <= MAX_IN_FLIGHT
                && load.ranks.len() <= priority::RANK_COUNT
                && load.ranks.iter().all(|entry| {
                    entry.in_flight <= MAX_IN_FLIGHT && entry.pending_prefill <= MAX_NUMBER
                })
        };
        let is_notice = |notice: &notice::UsageNotice| {
            let mut totals = notice.totals.iter().flatten();
            let mut relayed = notice.relayed.iter().flat_map(|relayed| &relayed.counts);
            totals.all(|(window, total)| *window.max(total) <= MAX_NUMBER) && relayed.all(is_count)
        };
        let is_crash = |crash: &quarantine::Crash| {
            crash.at.max(crash.sent_at) <= MAX_WALL_TIME
                && Duration::from_millis(crash.started_ms) <= MAX_WALL_TIME
        };
        let is_suspect = |suspect: &quarantine::Suspect| {
            suspect.crashes.len() <= quarantine::MAX_CRASHES
                && suspect.answered_at <= MAX_WALL_TIME
                && suspect.crashes.iter().all(is_crash)
        };
        let is_segment = |told: &quarantine::SegmentSuspect| {
            told.crashes.len() <= quarantine::MAX_CRASHES
                && told.answered_at <= MAX_WALL_TIME
                && told.crashes.iter().all(|crash| crash.at <= MAX_WALL_TIME)
        };
        let mut suspects = self.suspects.iter().flatten();
        let told = self.suspects.as_ref().map_or(0, Vec::len).max(self.news.segments.len());
        let is_limit = |told: &backend_limit::ToldLimit| {
            Duration::from_millis(told.started_ms) <= MAX_WALL_TIME
                && told.sent_age.max(told.heard_age) <= MAX_WALL_TIME
        };
        self.wall_time <= MAX_WALL_TIME
            && self.limits.iter().all(is_limit)
            && told <= quarantine::MAX_TOLD
            && suspects.all(is_suspect)
            && self.news.segments.iter().all(is_segment)
            && self.loads.iter().all(is_load)
            && self.counts.iter().all(is_count)
            && self.notice.as_ref().is_none_or(is_notice)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// If the bytes are no message, what follows it is malformed, or it states impossible figures.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut message, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if !rest.is_empty() {
            let (notice, rest) = postcard::take_from_bytes(rest)?;
            message.notice = Some(notice);
            if !rest.is_empty() {
                let (cached, rest) = postcard::take_from_bytes(rest)?;
                message.cached = cached;
                if !rest.is_empty() {
                    let (news, rest) = postcard::take_from_bytes(rest)?;
                    message.news = news;
                    if !rest.is_empty() {
                        let (limits, rest) = postcard::take_from_bytes(rest)?;
                        (message.limits, message.is_introduction) = limits;
                        if !rest.is_empty() {
                            let (suspects, rest) = postcard::take_from_bytes(rest)?;
                            message.suspects = Some(suspects);
                            if !rest.is_empty() {
                                message.teams = postcard::from_bytes(rest)?;
                            }
                        }
                    }
                }
            }
        }
        if message.is_plausible() {
            Ok(message)
        } else {
            Err(postcard::Error::DeserializeBadEncoding)
        }
    }
}
