//! Kinds of requests, some of which crash backend servers, and what happened to them.

use std::time::Duration;

use azuregap_gateway::decision::quarantine;
use azuregap_gateway::request_digest;

/// Time from the third crash of a request from which on the sends of it count, and for which a
/// gateway must have been undisturbed for its sends to count.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Requests that are the same.
#[derive(Clone, Copy)]
pub struct Kind {
    /// Whether they crash backend servers.
    pub is_deadly: bool,
    /// How many callers send, per second, over all gateways.
    pub rate: f64,
    /// How long a server runs one, in steps at most.
    pub steps: u32,
    /// Servers to which one request may be sent.
    pub attempts: usize,
    /// Prompt segment that it shares with other kinds.
    pub segment: Option<u64>,
}

impl Kind {
    pub fn suspects(&self, number: usize) -> quarantine::Suspects {
        let digest = request_digest::RequestDigest(number as u128 + 1);
        let segment = self.segment.map(quarantine::SuspectId::Segment);
        segment.into_iter().chain([quarantine::SuspectId::Request(digest)]).collect()
    }
}

/// What happened to the requests of a kind.
#[derive(Clone, Default)]
pub struct Tally {
    pub crashes: Vec<Duration>,
    /// Sends that reached a server by gateways that had been undisturbed.
    pub sends: Vec<Duration>,
    pub answers: usize,
    /// Rejections while a server was there.
    pub rejections: usize,
    /// Requests that were not sent to the last server.
    pub spared: usize,
}

impl Tally {
    /// Sends that count after the third crash.
    pub fn late_sends(&self) -> usize {
        let Some(third) = self.crashes.get(2) else { return 0 };
        self.sends.iter().filter(|at| **at > *third + CONTACT).count()
    }
}
