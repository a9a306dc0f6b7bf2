//! Decides when a response of the store that is arriving is given up.
//!
//! The size of a response is up to the operator, so no fixed time is enough for it. A response is
//! awaited as long as it makes progress: it has stalled if nothing has arrived for a while, or less in
//! all than the slowest usable link would have brought. A response is also given up for a newer one if
//! that wouldn't be there in time otherwise.
//!
//! This answers large configurations on small links, and several versions of them in a row.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::decision::transfer;
//! use tokio::time;
//!
//! let (now, second) = (time::Instant::now(), Duration::from_secs(1));
//! let mut transfer = transfer::Transfer::new(now, second);
//! transfer.record_head(Some(3_000_000), now + second);
//! transfer.record_bytes(1_000_000, now + 2 * second);
//! assert!(transfer.stalls_at() > now + 2 * second);
//! assert!(transfer.stalls_at() < now + 3 * second);
//! ```

use std::time::Duration;

use tokio::time;

/// Time without a byte after which a response has stalled.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Bytes a second below which a response has stalled although bytes keep arriving.
const MIN_RATE: f64 = 32.0 * 1024.0;

/// A version of the store's content is given up for newer ones until it is so many times as old as
/// versions may be before they are in force.
const MAX_AGE_FACTOR: u32 = 2;

/// A response of the store, from the call until all of it has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// When it stalls unless its head arrives.
    head_due: time::Instant,
    /// When its head arrived.
    began_at: Option<time::Instant>,
    /// When a part of it last arrived.
    advanced_at: time::Instant,
    received: u64,
    /// Its length, if it was announced.
    length: Option<u64>,
}

impl Transfer {
    /// Starts a call; the head of the response is due after `head_timeout`.
    #[must_use]
    pub fn new(now: time::Instant, head_timeout: Duration) -> Self {
        Self {
            head_due: now + head_timeout,
            began_at: None,
            advanced_at: now,
            received: 0,
            length: None,
        }
    }

    /// Records that the head of the response has arrived, or that of its next page.
    pub fn record_head(&mut self, length: Option<u64>, now: time::Instant) {
        self.began_at.get_or_insert(now);
        self.advanced_at = now;
        self.length = length.map(|length| self.received + length);
    }

    /// Records that a part of the body has arrived.
    pub fn record_bytes(&mut self, count: usize, now: time::Instant) {
        self.advanced_at = now;
        self.received += count as u64;
    }

    /// Whether the head has arrived.
    #[must_use]
    pub const fn has_begun(&self) -> bool {
        self.began_at.is_some()
    }

    /// Bytes of the body that have arrived.
    #[must_use]
    pub const fn received(&self) -> u64 {
        self.received
    }

    /// When the response will have stalled if nothing more of it arrives.
    #[must_use]
    pub fn stalls_at(&self) -> time::Instant {
        let Some(began_at) = self.began_at else { return self.head_due };
        let slowest = Duration::from_secs_f64(self.received as f64 / MIN_RATE);
        (self.advanced_at + STALL_TIMEOUT).min(began_at + STALL_TIMEOUT + slowest)
    }

    /// How long the body has been arriving; zero before the head.
    #[must_use]
    pub fn duration(&self, now: time::Instant) -> Duration {
        self.began_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Whether the response is given up for a newer one, whose head has arrived. The oldest change
    /// that isn't known yet was made after `missing_since`, and changes are to be known within `bound`.
    #[must_use]
    pub fn is_superseded(
        &self,
        newer: &Self,
        missing_since: time::Instant,
        bound: Duration,
        now: time::Instant,
    ) -> bool {
        let Some((length, newer_length)) = self.length.zip(newer.length) else { return false };
        let seconds_per_byte = self.duration(now).as_secs_f64() / (self.received.max(1) as f64);
        let time_for = |bytes: u64| {
            let time = Duration::try_from_secs_f64(bytes as f64 * seconds_per_byte);
            time.unwrap_or(Duration::MAX)
        };
        let rest = time_for(length.saturating_sub(self.received));
        let whole = time_for(newer_length);
        let age = now.saturating_duration_since(missing_since).saturating_add(whole);
        rest.saturating_add(whole) > bound && age <= bound * MAX_AGE_FACTOR
    }
}
