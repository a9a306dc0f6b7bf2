//! Estimates which prompt prefixes a backend server has cached.

use std::collections;
use std::time::Duration;

use tokio::time;

use crate::codec;

/// A part that was not used for this long may have been evicted. This is a few times the interval
/// between two requests of a session in the sample deployments.
const ENTRY_TTL: Duration = Duration::from_secs(20);

/// Maximum number of parts that are tracked for each backend server.
const MAX_PARTS: usize = 512;

/// Prompt parts that one backend server has read recently.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    last_used: collections::HashMap<codec::PartId, time::Instant>,
}

impl PrefixCache {
    /// An empty cache.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request with these parts was sent to the backend server.
    pub fn insert(&mut self, parts: &[codec::Part], now: time::Instant) {
        self.last_used.extend(parts.iter().map(|part| (part.id, now)));
        if self.last_used.len() > MAX_PARTS {
            self.last_used.retain(|_, at| now.saturating_duration_since(*at) < ENTRY_TTL);
        }
        if self.last_used.len() > MAX_PARTS {
            self.last_used.clear();
        }
    }

    /// Tokens at the start of a prompt that are likely cached.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[codec::Part], now: time::Instant) -> u64 {
        let is_cached = |part: &&codec::Part| {
            self.last_used
                .get(&part.id)
                .is_some_and(|at| now.saturating_duration_since(*at) < ENTRY_TTL)
        };
        parts.iter().take_while(is_cached).map(|part| u64::from(part.tokens)).sum()
    }
}
