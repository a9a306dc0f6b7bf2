//! What gateways tell each other: their load at each backend server, their counts of usage and
//! their estimate of the true time.

mod beacon;

use std::collections;
use std::net;
use std::time::Duration;

use azuregap_core::ids;
use tokio::time;

use crate::decision::windows;
use crate::directory;

pub use beacon::Beacon;
pub use beacon::Count;
pub use beacon::Work;

/// What a gateway says of its load holds for this long.
const LOAD_LIFE: Duration = Duration::from_millis(1_500);

/// A gateway that was not heard for this long shares no budget.
const ALIVE: Duration = Duration::from_secs(8);

/// A gateway that was not heard for this long is told nothing more.
const FORGOTTEN: Duration = Duration::from_secs(120);

/// Another gateway.
#[derive(Debug)]
struct Peer {
    address: net::SocketAddr,
    heard: time::Instant,
    loads: collections::HashMap<u32, directory::Load>,
    ahead: Option<(time::Instant, Duration)>,
}

/// Other gateways, by name.
#[derive(Debug, Default)]
pub struct Peers {
    known: collections::HashMap<ids::NodeId, Peer>,
    counts: collections::HashMap<(ids::NodeId, ids::Incarnation), windows::Windows>,
}

impl Peers {
    /// Adds a gateway that the store names.
    pub fn learn(&mut self, node: ids::NodeId, address: net::SocketAddr, now: time::Instant) {
        let peer = self.known.entry(node).or_insert_with(|| Peer {
            address,
            heard: now,
            loads: collections::HashMap::new(),
            ahead: None,
        });
        peer.address = address;
    }

    /// Takes what a gateway says.
    pub fn heard(&mut self, beacon: Beacon, from: net::SocketAddr, now: time::Instant) {
        let counts = self.counts.entry((beacon.node.clone(), beacon.incarnation)).or_default();
        counts.merge(beacon.counts.iter().map(|c| (c.window, c.team, c.requests)));
        self.learn(beacon.node.clone(), from, now);
        let Some(peer) = self.known.get_mut(&beacon.node) else { return };
        peer.heard = now;
        peer.ahead = Some((now, beacon.true_time));
        let load = |work: &Work| directory::Load {
            running: work.running,
            long: work.long,
            prefill: work.prefill,
            late: work.late,
        };
        peer.loads = beacon.work.iter().map(|work| (work.backend, load(work))).collect();
    }

    /// Load of all other gateways at a backend server.
    #[must_use]
    pub fn load(&self, backend: u32, now: time::Instant) -> directory::Load {
        let mut sum = directory::Load::default();
        for peer in self.known.values() {
            if now.saturating_duration_since(peer.heard) > LOAD_LIFE {
                continue;
            }
            if let Some(load) = peer.loads.get(&backend) {
                sum.running += load.running;
                sum.long += load.long;
                sum.prefill += load.prefill;
                sum.late += load.late;
            }
        }
        sum
    }

    /// Other gateways that are alive.
    #[must_use]
    pub fn alive(&self, now: time::Instant) -> usize {
        let alive = |peer: &&Peer| now.saturating_duration_since(peer.heard) < ALIVE;
        self.known.values().filter(alive).count()
    }

    /// Whether a gateway is among the first `most` of those alive, in an order that all share.
    #[must_use]
    pub fn is_among(&self, node: &str, most: usize, now: time::Instant) -> bool {
        let own = directory::hash_of(node);
        let before = |(name, peer): &(&ids::NodeId, &Peer)| {
            let alive = now.saturating_duration_since(peer.heard) < LOAD_LIFE;
            alive && directory::hash_of(name) < own
        };
        self.known.iter().filter(before).count() < most
    }

    /// Addresses to tell; those not heard for long are forgotten.
    pub fn addresses(&mut self, now: time::Instant) -> Vec<net::SocketAddr> {
        self.known.retain(|_, peer| now.saturating_duration_since(peer.heard) < FORGOTTEN);
        self.known.values().map(|peer| peer.address).collect()
    }

    /// The true time now, as each gateway heard lately estimates it.
    pub fn times(&self, now: time::Instant) -> Vec<Duration> {
        let fresh = |peer: &Peer| {
            let (at, time) = peer.ahead?;
            let age = now.saturating_duration_since(at);
            (age < LOAD_LIFE).then_some(time + age)
        };
        self.known.values().filter_map(fresh).collect()
    }

    /// Adds what the other gateways counted in a window.
    pub fn add_counts(&self, window: u64, sum: &mut collections::BTreeMap<windows::TeamHash, u64>) {
        for counts in self.counts.values() {
            counts.add_to(window, sum);
        }
    }

    /// What each other gateway counted in a window.
    #[must_use]
    pub fn counted(&self, window: u64) -> Vec<(&str, u64)> {
        let total = |counts: &windows::Windows| {
            let mut sum = collections::BTreeMap::new();
            counts.add_to(window, &mut sum);
            sum.values().sum()
        };
        self.counts.iter().map(|((node, _), counts)| (node.as_str(), total(counts))).collect()
    }

    /// How long ago each other gateway was heard, in milliseconds.
    #[must_use]
    pub fn ages(&self, now: time::Instant) -> Vec<(&str, u128)> {
        let age = |peer: &Peer| now.saturating_duration_since(peer.heard).as_millis();
        self.known.iter().map(|(node, peer)| (node.as_str(), age(peer))).collect()
    }

    /// Forgets counts of processes that counted nothing in the windows kept.
    pub fn prune(&mut self, window: u64) {
        for counts in self.counts.values_mut() {
            counts.forget(window);
        }
        self.counts.retain(|_, counts| !counts.is_empty());
    }
}
