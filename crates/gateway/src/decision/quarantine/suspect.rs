//! What gateways tell each other about a prompt segment.

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use smallvec::SmallVec;

use super::crash;
use crate::codec;

/// What gateways tell each other about a segment.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// The segment.
    pub segment: codec::SegmentId,
    /// Crashes since its last answer.
    pub crashes: SmallVec<[crash::Crash; 4]>,
    /// Beginning of its last answer, if one is known; zero if none is.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub answered_at: crash::TimeOfDay,
}
