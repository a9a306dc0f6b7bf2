//! What gateways tell each other: their load at each backend server, their counts of usage and
//! their estimate of the true time.

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

/// What a gateway says of its load holds for this long.
const LOAD_LIFE: Duration = Duration::from_millis(1_500);

/// A gateway that was not heard for this long shares no budget.
const ALIVE: Duration = Duration::from_secs(8);

/// A gateway that was neither heard nor listed for this long is told nothing more.
pub const PEER_EXPIRY: Duration = Duration::from_secs(120);

/// Gateways on each side that are told of the load. Source: forty beacons a second, heard and sent,
/// take a percent of a core, and each must come again while its load holds.
const SIDE: usize = 20;

/// Gateways that compete for the lease and hear all counts; others only if they hear of fewer.
pub const REPORTER_COUNT: usize = 3;

/// Most gateways that are told of the counts of usage, the silent ones included.
const MOST_TOLD: usize = 12;

/// Place in the order that all gateways share.
type Place = (u32, ids::NodeId);

fn place(node: &str) -> Place {
    (directory::id_hash(node), node.to_owned())
}

/// Another gateway.
#[derive(Debug)]
struct Peer {
    address: net::SocketAddr,
    listed: time::Instant,
    /// When it was heard last; until then, when it was listed first.
    heard: time::Instant,
    loads: collections::HashMap<u32, directory::Load>,
    ahead: Option<(time::Instant, Duration)>,
}

impl Peer {
    fn was_heard(&self, within: Duration, now: time::Instant) -> bool {
        now.saturating_duration_since(self.heard) < within
    }
}

/// Other gateways, in a ring that all of them order alike.
///
/// Each tells its neighbours in the ring of its load, so that the cost doesn't grow with the fleet;
/// in a small fleet all are neighbours. Counts of usage go to the first gateways of the order, one
/// of which reports them.
#[derive(Debug, Default)]
pub struct Peers {
    known: collections::BTreeMap<Place, Peer>,
    counts: collections::HashMap<(ids::NodeId, ids::Incarnation), usage_counts::UsageCounts>,
    /// Sum of the loads that hold.
    sum: collections::HashMap<u32, directory::Load>,
    /// When the first of them ends to hold.
    stale: Option<time::Instant>,
}

impl Peers {
    /// Adds a gateway that the store names.
    pub fn add_listed(&mut self, node: ids::NodeId, address: net::SocketAddr, now: time::Instant) {
        let peer = self.known.entry(place(&node)).or_insert_with(|| Peer {
            address,
            listed: now,
            heard: now,
            loads: collections::HashMap::new(),
            ahead: None,
        });
        peer.address = address;
        peer.listed = now;
    }

    /// Takes what a gateway says.
    pub fn handle_message(
        &mut self,
        beacon: GossipMessage,
        from: net::SocketAddr,
        now: time::Instant,
    ) {
        if !beacon.counts.is_empty() {
            let counts = self.counts.entry((beacon.node.clone(), beacon.incarnation)).or_default();
            counts.merge(beacon.counts.iter().map(|c| (c.window, c.team, c.requests)));
        }
        self.add_listed(beacon.node.clone(), from, now);
        let Some(peer) = self.known.get_mut(&place(&beacon.node)) else { return };
        peer.heard = now;
        peer.ahead = Some((now, beacon.wall_time));
        let loads = beacon.loads.iter().map(|load| (load.backend_hash, load.load())).collect();
        let old = std::mem::replace(&mut peer.loads, loads);
        subtract(&mut self.sum, &old);
        for (backend, load) in &peer.loads {
            *self.sum.entry(*backend).or_default() += *load;
        }
        self.stale.get_or_insert(now + LOAD_LIFE);
    }

    /// Load at a backend server of all other gateways that were heard lately.
    #[must_use]
    pub fn load(&mut self, backend: u32, now: time::Instant) -> directory::Load {
        self.expire(now);
        self.sum.get(&backend).copied().unwrap_or_default()
    }

    /// Takes out loads that hold no longer.
    fn expire(&mut self, now: time::Instant) {
        if self.stale.is_none_or(|stale| now <= stale) {
            return;
        }
        self.stale = None;
        for peer in self.known.values_mut().filter(|peer| !peer.loads.is_empty()) {
            let until = peer.heard + LOAD_LIFE;
            if now <= until {
                self.stale = Some(self.stale.map_or(until, |at| at.min(until)));
            } else {
                subtract(&mut self.sum, &std::mem::take(&mut peer.loads));
            }
        }
    }

    /// Gateways whose load is not heard here, for each one whose load is.
    ///
    /// Zero in a fleet in which each gateway hears all others.
    #[must_use]
    pub fn unreported_ratio(&self, now: time::Instant) -> f64 {
        if !self.is_partial_mesh() {
            return 0.0;
        }
        let heard = self.known.values().filter(|peer| peer.was_heard(LOAD_LIFE, now)).count();
        self.known.len().saturating_sub(heard) as f64 / heard.max(1) as f64
    }

    /// Other gateways that are alive; in a large fleet, all that are listed.
    #[must_use]
    pub fn live_count(&self, now: time::Instant) -> usize {
        if self.is_partial_mesh() {
            return self.known.len();
        }
        self.known.values().filter(|peer| peer.was_heard(ALIVE, now)).count()
    }

    /// Whether a gateway is among the first `most` of those alive, in the order that all share.
    #[must_use]
    pub fn is_among_first(&self, node: &str, most: usize, now: time::Instant) -> bool {
        let before = self.known.range(..place(node)).map(|(_, peer)| peer);
        before.filter(|peer| peer.was_heard(LOAD_LIFE, now)).count() < most
    }

    /// Addresses of the neighbours of a gateway; it tells them of its load.
    ///
    /// Neighbours that are silent are told as well, but don't count, so that the two sides of a
    /// partition find each other again.
    #[must_use]
    pub fn neighbours(&self, node: &str, now: time::Instant) -> Vec<net::SocketAddr> {
        let own = place(node);
        let after = self.known.range(&own..).chain(self.known.range(..&own));
        let after = after.filter(|(place, _)| **place != own).map(|(_, peer)| peer);
        if !self.is_partial_mesh() {
            return after.map(|peer| peer.address).collect();
        }
        let (mut addresses, mut seen) = (Vec::new(), collections::HashSet::new());
        let mut take = |side: &mut dyn Iterator<Item = &Peer>| {
            let mut live = 0;
            for peer in side.take(SIDE * 2) {
                live += usize::from(peer.was_heard(ALIVE, now));
                if seen.insert(peer.address) {
                    addresses.push(peer.address);
                }
                if live == SIDE {
                    break;
                }
            }
        };
        take(&mut after.clone());
        take(&mut after.rev());
        addresses
    }

    /// Addresses of the first gateways of the order, until [`REPORTER_COUNT`] of them were heard lately;
    /// one of these reports the counts of usage.
    ///
    /// They answer each message with counts, which come at intervals of `pause`.
    #[must_use]
    pub fn reporters(&self, pause: Duration, now: time::Instant) -> Vec<net::SocketAddr> {
        let silence = ALIVE.max(pause * 3);
        let mut live = 0;
        let mut addresses = Vec::new();
        for peer in self.known.values().take(MOST_TOLD) {
            addresses.push(peer.address);
            live += usize::from(peer.was_heard(silence, now));
            if live == REPORTER_COUNT {
                break;
            }
        }
        addresses
    }

    /// Forgets gateways that were neither heard nor listed for long.
    pub fn remove_expired(&mut self, now: time::Instant) {
        let old = |at: time::Instant| now.saturating_duration_since(at) >= PEER_EXPIRY;
        let sum = &mut self.sum;
        self.known.retain(|_, peer| {
            let keeps = !old(peer.listed) || !old(peer.heard);
            if !keeps {
                subtract(sum, &peer.loads);
            }
            keeps
        });
    }

    /// Whether there are so many gateways that not all of them are neighbours.
    #[must_use]
    pub fn is_partial_mesh(&self) -> bool {
        self.known.len() > SIDE * 2
    }

    /// Whether a gateway was not heard for so long that it is taken as gone.
    #[must_use]
    pub fn is_expired(&self, node: &str, now: time::Instant) -> bool {
        self.known.get(&place(node)).is_some_and(|peer| !peer.was_heard(PEER_EXPIRY, now))
    }

    /// The true time now, as each gateway heard lately estimates it.
    pub fn clock_estimates(&self, now: time::Instant) -> Vec<Duration> {
        let fresh = |peer: &Peer| {
            let (at, time) = peer.ahead?;
            let age = now.saturating_duration_since(at);
            (age < LOAD_LIFE).then_some(time + age)
        };
        self.known.values().filter_map(fresh).collect()
    }

    /// Adds what the other gateways counted in a window.
    pub fn add_counts(
        &self,
        window: u64,
        sum: &mut collections::BTreeMap<usage_counts::TeamHash, u64>,
    ) {
        for counts in self.counts.values() {
            counts.add_to(window, sum);
        }
    }

    /// What each other gateway counted in a window.
    #[must_use]
    pub fn counts_by_peer(&self, window: u64) -> Vec<(&str, u64)> {
        let total = |counts: &usage_counts::UsageCounts| {
            let mut sum = collections::BTreeMap::new();
            counts.add_to(window, &mut sum);
            sum.values().sum()
        };
        self.counts.iter().map(|((node, _), counts)| (node.as_str(), total(counts))).collect()
    }

    /// How long ago each other gateway was heard, in milliseconds.
    #[must_use]
    pub fn last_heard_ages(&self, now: time::Instant) -> Vec<(&str, u128)> {
        let age = |peer: &Peer| now.saturating_duration_since(peer.heard).as_millis();
        self.known.iter().map(|((_, node), peer)| (node.as_str(), age(peer))).collect()
    }

    /// Forgets counts of processes that counted nothing in the windows kept.
    pub fn prune_counts(&mut self, window: u64) {
        for counts in self.counts.values_mut() {
            counts.prune(window);
        }
        self.counts.retain(|_, counts| !counts.is_empty());
    }
}

fn subtract(
    sum: &mut collections::HashMap<u32, directory::Load>,
    loads: &collections::HashMap<u32, directory::Load>,
) {
    for (backend, load) in loads {
        if let Some(known) = sum.get_mut(backend) {
            *known -= *load;
            if *known == directory::Load::default() {
                sum.remove(backend);
            }
        }
    }
}
