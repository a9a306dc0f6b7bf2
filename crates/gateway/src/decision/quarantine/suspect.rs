//! What may be the cause of a crash, and what gateways tell each other about it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use smallvec::SmallVec;

use super::crash;
use crate::request_digest;

/// What a request has in common with others, and may be the cause of crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum SuspectId {
    /// A prompt segment that different requests share.
    Segment(u64),
    /// The whole request, which may come again.
    Request(request_digest::RequestDigest),
}

impl SuspectId {
    /// Name of its kind in logs.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Segment(_) => "segment",
            Self::Request(_) => "request",
        }
    }

    /// Whether it is a whole request.
    #[must_use]
    pub const fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl fmt::Display for SuspectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Segment(id) => write!(f, "{id:x}"),
            Self::Request(digest) => write!(f, "{digest}"),
        }
    }
}

/// Suspects that a request has part in: its shared segments, then itself.
pub type Suspects = SmallVec<[SuspectId; 4]>;

/// What gateways tell each other about a suspect.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// The suspect.
    pub id: SuspectId,
    /// Crashes since its last answer.
    pub crashes: SmallVec<[crash::Crash; 4]>,
    /// Beginning of its last answer, if one is known; zero if none is.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub answered_at: crash::TimeOfDay,
}

/// A crash as gateways of earlier versions know it.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SegmentCrash {
    /// Hash of the backend server's id.
    pub backend_hash: u32,
    /// When the end was noticed.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub at: crash::TimeOfDay,
}

/// A suspected segment as gateways of earlier versions tell it, and as the store keeps it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SegmentSuspect {
    /// The segment.
    pub segment: u64,
    /// Crashes since its last answer.
    pub crashes: SmallVec<[SegmentCrash; 4]>,
    /// Beginning of its last answer, if one is known; zero if none is.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub answered_at: crash::TimeOfDay,
}

impl Suspect {
    /// The suspect as gateways of earlier versions know it; `None` if it is a whole request.
    #[must_use]
    pub fn as_segment(&self) -> Option<SegmentSuspect> {
        let SuspectId::Segment(segment) = self.id else { return None };
        let crash =
            |crash: &crash::Crash| SegmentCrash { backend_hash: crash.backend_hash, at: crash.at };
        let crashes = self.crashes.iter().map(crash).collect();
        Some(SegmentSuspect { segment, crashes, answered_at: self.answered_at })
    }
}

impl From<SegmentSuspect> for Suspect {
    fn from(told: SegmentSuspect) -> Self {
        let crash = |crash: &SegmentCrash| crash::Crash {
            backend_hash: crash.backend_hash,
            started_ms: 0,
            sent_at: crash::TimeOfDay::ZERO,
            at: crash.at,
        };
        Self {
            id: SuspectId::Segment(told.segment),
            crashes: told.crashes.iter().map(crash).collect(),
            answered_at: told.answered_at,
        }
    }
}
