//! Estimates which prompt prefixes a backend server has cached.

use std::collections;
use std::time::Duration;

use tokio::time;

use crate::codec;

/// A segment that was not used for this long may have been evicted. This is a few times the
/// interval between two requests of a session in the sample deployments.
const ENTRY_TTL: Duration = Duration::from_secs(20);

/// Maximum number of segments that are tracked for each backend server.
const MAX_SEGMENTS: usize = 512;

/// Prompt segments that one backend server has read recently.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    last_used: collections::HashMap<codec::SegmentId, time::Instant>,
}

impl PrefixCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request with these segments was sent to the backend server.
    pub fn insert(&mut self, segments: &[codec::Segment], now: time::Instant) {
        segments.iter().for_each(|segment| self.insert_id(segment.id, now));
    }

    /// Records that the backend server has read a segment.
    pub fn insert_id(&mut self, segment: codec::SegmentId, now: time::Instant) {
        self.last_used.insert(segment, now);
        if self.last_used.len() > MAX_SEGMENTS {
            self.last_used.retain(|_, at| now.saturating_duration_since(*at) < ENTRY_TTL);
        }
        if self.last_used.len() > MAX_SEGMENTS {
            self.last_used.clear();
        }
    }

    /// Tokens at the start of a prompt that are likely cached.
    #[must_use]
    pub fn cached_tokens(&self, segments: &[codec::Segment], now: time::Instant) -> u64 {
        let is_cached = |segment: &&codec::Segment| {
            self.last_used
                .get(&segment.id)
                .is_some_and(|at| now.saturating_duration_since(*at) < ENTRY_TTL)
        };
        segments.iter().take_while(is_cached).map(|segment| u64::from(segment.tokens)).sum()
    }
}
