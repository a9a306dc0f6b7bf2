//! What a gateway knows about the other gateways: their load at each backend server, their usage
//! counts and their estimates of the time of day.

mod message;

use std::collections;
use std::net;
use std::time::Duration;

use azuregap_core::ids;
use tokio::time;

use crate::decision::usage_counts;
use crate::directory;

pub use message::BackendLoad;
pub use message::GossipMessage;
pub use message::RankEntry;
pub use message::UsageCount;

/// How long the load and the time in a message stay valid.
const LOAD_TTL: Duration = Duration::from_millis(1_500);

/// A gateway that has been silent for this long is not counted as alive and has no share of the
/// budgets.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(8);

/// A gateway that was not listed and sent no message for this long receives no more messages.
pub const PEER_EXPIRY: Duration = Duration::from_secs(120);

/// Neighbours on each side of the ring. Sending and receiving forty messages per second takes one
/// percent of a core, and each message must be repeated while its load is valid.
const NEIGHBOURS_PER_SIDE: usize = 20;

/// Gateways that compete for the reporting lease and receive all usage counts. Other gateways
/// compete only while fewer gateways than this, of those before them in the ring, send them
/// messages.
pub const REPORTER_COUNT: usize = 3;

/// Maximum number of gateways that receive the usage counts, including silent ones.
const MAX_COUNT_RECIPIENTS: usize = 12;

/// Position in the ring; the same at every gateway.
type Position = (u32, ids::NodeId);

fn position(node: &str) -> Position {
    (directory::id_hash(node), node.to_owned())
}

/// Another gateway.
#[derive(Debug)]
struct Peer {
    address: net::SocketAddr,
    listed_at: time::Instant,
    /// When its last message came; before the first message, when it was first listed.
    heard_at: time::Instant,
    loads: collections::HashMap<u32, directory::Load>,
    wall_time: Option<(time::Instant, Duration)>,
}

impl Peer {
    fn was_heard(&self, within: Duration, now: time::Instant) -> bool {
        now.saturating_duration_since(self.heard_at) < within
    }
}

/// The other gateways, in a ring in which all gateways have the same order.
///
/// Each gateway sends its load to its neighbours in the ring, so the cost doesn't grow with the
/// fleet; in a small fleet all gateways are neighbours. Usage counts go to the first gateways in
/// the order, one of which reports them.
#[derive(Debug, Default)]
pub struct Peers {
    peers: collections::BTreeMap<Position, Peer>,
    counts: collections::HashMap<(ids::NodeId, ids::Incarnation), usage_counts::UsageCounts>,
    /// Sum of the valid loads.
    total_loads: collections::HashMap<u32, directory::Load>,
    /// When the first of these loads expires.
    next_expiry: Option<time::Instant>,
}

impl Peers {
    /// Adds a gateway that is listed in the store.
    pub fn add_listed(&mut self, node: ids::NodeId, address: net::SocketAddr, now: time::Instant) {
        let peer = self.peers.entry(position(&node)).or_insert_with(|| Peer {
            address,
            listed_at: now,
            heard_at: now,
            loads: collections::HashMap::new(),
            wall_time: None,
        });
        peer.address = address;
        peer.listed_at = now;
    }

    /// Handles a message of another gateway.
    pub fn handle_message(
        &mut self,
        message: GossipMessage,
        from: net::SocketAddr,
        now: time::Instant,
    ) {
        if !message.counts.is_empty() {
            let counts =
                self.counts.entry((message.node.clone(), message.incarnation)).or_default();
            counts.merge(message.counts.iter().map(|c| (c.window, c.team, c.requests)));
        }
        self.add_listed(message.node.clone(), from, now);
        let Some(peer) = self.peers.get_mut(&position(&message.node)) else { return };
        peer.heard_at = now;
        peer.wall_time = Some((now, message.wall_time));
        let loads = message.loads.iter().map(|load| (load.backend_hash, load.load())).collect();
        let old = std::mem::replace(&mut peer.loads, loads);
        subtract(&mut self.total_loads, &old);
        for (backend, load) in &peer.loads {
            *self.total_loads.entry(*backend).or_default() += *load;
        }
        self.next_expiry.get_or_insert(now + LOAD_TTL);
    }

    /// Valid load of all other gateways at a backend server.
    #[must_use]
    pub fn load(&mut self, backend: u32, now: time::Instant) -> directory::Load {
        self.expire_loads(now);
        self.total_loads.get(&backend).copied().unwrap_or_default()
    }

    /// Subtracts loads that are no longer valid.
    fn expire_loads(&mut self, now: time::Instant) {
        if self.next_expiry.is_none_or(|expiry| now <= expiry) {
            return;
        }
        self.next_expiry = None;
        for peer in self.peers.values_mut().filter(|peer| !peer.loads.is_empty()) {
            let until = peer.heard_at + LOAD_TTL;
            if now <= until {
                self.next_expiry = Some(self.next_expiry.map_or(until, |at| at.min(until)));
            } else {
                subtract(&mut self.total_loads, &std::mem::take(&mut peer.loads));
            }
        }
    }

    /// Number of gateways whose load is not known here for each one whose load is.
    ///
    /// Zero in a fleet in which all gateways are neighbours.
    #[must_use]
    pub fn unreported_ratio(&self, now: time::Instant) -> f64 {
        if !self.is_partial_mesh() {
            return 0.0;
        }
        let heard = self.peers.values().filter(|peer| peer.was_heard(LOAD_TTL, now)).count();
        self.peers.len().saturating_sub(heard) as f64 / heard.max(1) as f64
    }

    /// Number of other gateways that are alive; if not all gateways are neighbours, of all that are
    /// known.
    #[must_use]
    pub fn live_count(&self, now: time::Instant) -> usize {
        if self.is_partial_mesh() {
            return self.peers.len();
        }
        self.peers.values().filter(|peer| peer.was_heard(LIVENESS_TIMEOUT, now)).count()
    }

    /// Whether a gateway is among the first `count` live gateways in the common order.
    #[must_use]
    pub fn is_among_first(&self, node: &str, count: usize, now: time::Instant) -> bool {
        let before = self.peers.range(..position(node)).map(|(_, peer)| peer);
        before.filter(|peer| peer.was_heard(LOAD_TTL, now)).count() < count
    }

    /// Addresses of the neighbours of a gateway, to which it sends its load.
    ///
    /// Silent neighbours are included, but don't count towards the number of neighbours, so that
    /// the two sides of a network partition find each other again.
    #[must_use]
    pub fn neighbours(&self, node: &str, now: time::Instant) -> Vec<net::SocketAddr> {
        let own = position(node);
        let after = self.peers.range(&own..).chain(self.peers.range(..&own));
        let after = after.filter(|(position, _)| **position != own).map(|(_, peer)| peer);
        if !self.is_partial_mesh() {
            return after.map(|peer| peer.address).collect();
        }
        let (mut addresses, mut seen) = (Vec::new(), collections::HashSet::new());
        let mut add_side = |side: &mut dyn Iterator<Item = &Peer>| {
            let mut live = 0;
            for peer in side.take(NEIGHBOURS_PER_SIDE * 2) {
                live += usize::from(peer.was_heard(LIVENESS_TIMEOUT, now));
                if seen.insert(peer.address) {
                    addresses.push(peer.address);
                }
                if live == NEIGHBOURS_PER_SIDE {
                    break;
                }
            }
        };
        add_side(&mut after.clone());
        add_side(&mut after.rev());
        addresses
    }

    /// Addresses of the first gateways in the common order, up to the one that completes
    /// [`REPORTER_COUNT`] live ones; one of these reports the usage counts.
    ///
    /// They reply to each message with counts; such messages are sent at intervals of `interval`.
    #[must_use]
    pub fn reporters(&self, interval: Duration, now: time::Instant) -> Vec<net::SocketAddr> {
        let timeout = LIVENESS_TIMEOUT.max(interval * 3);
        let mut live = 0;
        let mut addresses = Vec::new();
        for peer in self.peers.values().take(MAX_COUNT_RECIPIENTS) {
            addresses.push(peer.address);
            live += usize::from(peer.was_heard(timeout, now));
            if live == REPORTER_COUNT {
                break;
            }
        }
        addresses
    }

    /// Removes gateways that have neither been listed nor sent a message for [`PEER_EXPIRY`].
    pub fn remove_expired(&mut self, now: time::Instant) {
        let is_old = |at: time::Instant| now.saturating_duration_since(at) >= PEER_EXPIRY;
        let total_loads = &mut self.total_loads;
        self.peers.retain(|_, peer| {
            let is_kept = !is_old(peer.listed_at) || !is_old(peer.heard_at);
            if !is_kept {
                subtract(total_loads, &peer.loads);
            }
            is_kept
        });
    }

    /// Whether there are too many gateways for all of them to be neighbours.
    #[must_use]
    pub fn is_partial_mesh(&self) -> bool {
        self.peers.len() > NEIGHBOURS_PER_SIDE * 2
    }

    /// Whether a gateway has been silent for so long that it is considered gone.
    #[must_use]
    pub fn is_expired(&self, node: &str, now: time::Instant) -> bool {
        self.peers.get(&position(node)).is_some_and(|peer| !peer.was_heard(PEER_EXPIRY, now))
    }

    /// Current time of day according to each gateway with a recent message.
    pub fn clock_estimates(&self, now: time::Instant) -> Vec<Duration> {
        let recent = |peer: &Peer| {
            let (at, time) = peer.wall_time?;
            let age = now.saturating_duration_since(at);
            (age < LOAD_TTL).then_some(time + age)
        };
        self.peers.values().filter_map(recent).collect()
    }

    /// Adds the counts of the other gateways in a window to `sum`.
    pub fn add_counts(
        &self,
        window: u64,
        sum: &mut collections::BTreeMap<usage_counts::TeamHash, u64>,
    ) {
        for counts in self.counts.values() {
            counts.add_to(window, sum);
        }
    }

    /// Total count of each other gateway in a window.
    #[must_use]
    pub fn counts_by_peer(&self, window: u64) -> Vec<(&str, u64)> {
        let total = |counts: &usage_counts::UsageCounts| {
            let mut sum = collections::BTreeMap::new();
            counts.add_to(window, &mut sum);
            sum.values().sum()
        };
        self.counts.iter().map(|((node, _), counts)| (node.as_str(), total(counts))).collect()
    }

    /// Time since the last message of each other gateway, in milliseconds.
    #[must_use]
    pub fn last_heard_ages(&self, now: time::Instant) -> Vec<(&str, u128)> {
        let age = |peer: &Peer| now.saturating_duration_since(peer.heard_at).as_millis();
        self.peers.iter().map(|((_, node), peer)| (node.as_str(), age(peer))).collect()
    }

    /// Removes counts of windows that are no longer retained, and processes without any counts.
    pub fn prune_counts(&mut self, window: u64) {
        for counts in self.counts.values_mut() {
            counts.prune(window);
        }
        self.counts.retain(|_, counts| !counts.is_empty());
    }
}

fn subtract(
    total: &mut collections::HashMap<u32, directory::Load>,
    loads: &collections::HashMap<u32, directory::Load>,
) {
    for (backend, load) in loads {
        if let Some(sum) = total.get_mut(backend) {
            *sum -= *load;
            if *sum == directory::Load::default() {
                total.remove(backend);
            }
        }
    }
}
