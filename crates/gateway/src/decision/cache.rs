//! Which parts of prompts a backend server is likely to keep.

use std::collections;
use std::time::Duration;

use tokio::time;

use crate::codec;

/// A part that was not used for this long may have made room for others. Source: a few times the
/// pause between two requests of one session in the sample deployments.
const KEPT: Duration = Duration::from_secs(20);

/// Most parts remembered for each backend server.
const MOST_PARTS: usize = 512;

/// Parts of prompts that one backend server has read lately.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    used: collections::HashMap<codec::SegmentId, time::Instant>,
}

impl Cache {
    /// Nothing is known to be kept.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A request with these parts was sent there.
    pub fn used(&mut self, parts: &[codec::Segment], now: time::Instant) {
        self.used.extend(parts.iter().map(|part| (part.id, now)));
        if self.used.len() > MOST_PARTS {
            self.used.retain(|_, at| now.saturating_duration_since(*at) < KEPT);
        }
        if self.used.len() > MOST_PARTS {
            self.used.clear();
        }
    }

    /// Tokens at the start of a prompt that need not be read again.
    #[must_use]
    pub fn kept(&self, parts: &[codec::Segment], now: time::Instant) -> u64 {
        let fresh = |part: &&codec::Segment| {
            self.used.get(&part.id).is_some_and(|at| now.saturating_duration_since(*at) < KEPT)
        };
        parts.iter().take_while(fresh).map(|part| u64::from(part.tokens)).sum()
    }
}
