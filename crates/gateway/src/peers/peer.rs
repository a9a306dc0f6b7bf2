//! What a gateway knows about another gateway.

use std::collections;
use std::net;
use std::time::Duration;

use tokio::time;

use crate::directory;

/// Another gateway.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: net::SocketAddr,
    pub(super) listed_at: time::Instant,
    /// When its last message came; before the first message, when it was first listed.
    pub(super) heard_at: time::Instant,
    pub(super) loads: collections::HashMap<u32, directory::Load>,
    pub(super) wall_time: Option<(time::Instant, Duration)>,
    /// Whether it may become the reporter, as far as is known.
    pub(super) can_report: bool,
    /// Whether it was stopping when it sent its last message.
    pub(super) is_leaving: bool,
    /// Whether its version is too old to tell which of its counts are missing.
    pub(super) is_older: bool,
}

impl Peer {
    /// Whether a message of it came within `within`.
    pub(super) fn was_heard(&self, within: Duration, now: time::Instant) -> bool {
        now.saturating_duration_since(self.heard_at) < within
    }
}
