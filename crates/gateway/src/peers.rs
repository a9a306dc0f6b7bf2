//! What a gateway knows about the other gateways: their load at each backend server, their usage
//! counts and their estimates of the time of day.

mod collected_counts;
mod message;
mod news;
mod notice;
mod peer;
mod reply;
mod reporter;
mod ring;

use std::collections;
use std::net;
use std::time::Duration;

use azuregap_core::ids;
use tokio::time;

use crate::decision::candidacy;
use crate::decision::gossip_timing;
use crate::decision::report_readiness;
use crate::decision::usage_counts;
use crate::directory;

pub use message::BackendLoad;
pub use message::CachedSegment;
pub use message::GossipMessage;
pub use message::RankEntry;
pub use message::UsageCount;
pub use news::LeavingBackend;
pub use news::News;
pub use notice::RelayedCounts;
pub use notice::UsageNotice;
pub use reply::Reply;

/// A gateway that has been silent for this long is not counted as alive.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(8);

/// A gateway that has heard no other one for this long is cut off. It is several intervals between
/// messages.
const CUT_OFF: Duration = Duration::from_secs(2);

/// A gateway that was not listed and sent no message for this long receives no more messages.
pub const PEER_EXPIRY: Duration = Duration::from_secs(120);

/// Gateways that compete for the reporting lease and receive all usage counts; see
/// [`candidacy::competes`].
pub const REPORTER_COUNT: usize = candidacy::CANDIDATES;

/// Maximum number of gateways that receive the usage counts, including silent ones.
const MAX_COUNT_RECIPIENTS: usize = 12;

/// Position in the ring; the same at every gateway.
type Position = (u32, ids::NodeId);

fn position(node: &str) -> Position {
    (directory::id_hash(node), node.to_owned())
}

/// The other gateways, in a ring in which all gateways have the same order.
///
/// Each gateway sends its load to its neighbours in the ring, so the cost doesn't grow with the
/// fleet; in a small fleet all gateways are neighbours. Usage counts go to the first gateways in the
/// order and to the reporter, which any gateway may become and which asks all of them for theirs.
#[derive(Debug, Default)]
pub struct Peers {
    peers: collections::BTreeMap<Position, peer::Peer>,
    counts: collected_counts::CollectedCounts,
    reporter: Option<reporter::Reporter>,
    /// Sum of the valid loads.
    total_loads: collections::HashMap<u32, directory::Load>,
    /// When the first of these loads expires.
    next_expiry: Option<time::Instant>,
}

impl Peers {
    /// Adds a gateway that is listed in the store.
    pub fn add_listed(&mut self, node: ids::NodeId, address: net::SocketAddr, now: time::Instant) {
        let peer = self.peers.entry(position(&node)).or_insert_with(|| peer::Peer {
            address,
            listed_at: now,
            heard_at: now,
            loads: collections::HashMap::new(),
            wall_time: None,
            can_report: true,
            is_leaving: false,
            is_older: false,
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
    ) -> Reply {
        self.counts.merge(&message);
        self.add_listed(message.node.clone(), from, now);
        let reply = self.handle_notice(&message, from, now);
        let ttl = self.load_ttl();
        let Some(peer) = self.peers.get_mut(&position(&message.node)) else { return reply };
        peer.heard_at = now;
        peer.wall_time = Some((now, message.wall_time));
        peer.can_report = message.notice.as_ref().is_none_or(|notice| notice.can_report);
        peer.is_leaving = message.notice.as_ref().is_some_and(|notice| notice.is_leaving);
        peer.is_older = message.notice.is_none();
        let loads = message.loads.iter().map(|load| (load.backend_hash, load.load())).collect();
        let old = std::mem::replace(&mut peer.loads, loads);
        subtract(&mut self.total_loads, &old);
        for (backend, load) in &peer.loads {
            *self.total_loads.entry(*backend).or_default() += *load;
        }
        self.next_expiry.get_or_insert(now + ttl);
        reply
    }

    /// Remembers the reporter if the message is from it; returns what the sender expects.
    ///
    /// In a small fleet every message goes to all gateways, so no acknowledgement is needed.
    fn handle_notice(
        &mut self,
        message: &GossipMessage,
        from: net::SocketAddr,
        now: time::Instant,
    ) -> Reply {
        let notice = message.notice.as_ref();
        if let Some(fence) = notice.and_then(|notice| notice.counts_wanted) {
            if self.reporter.as_ref().is_none_or(|reporter| reporter.fence <= fence) {
                self.reporter = Some(reporter::Reporter { address: from, fence, heard_at: now });
            }
            return Reply::Counts;
        }
        if message.is_introduction {
            return Reply::Introduction;
        }
        let has_counts =
            !message.counts.is_empty() || notice.is_some_and(|notice| notice.totals.is_some());
        if has_counts && self.is_partial_mesh() { Reply::Acknowledgement } else { Reply::None }
    }

    /// Time for which the load and the time of day in a message stay valid.
    fn load_ttl(&self) -> Duration {
        gossip_timing::load_ttl(self.peers.len())
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
        let ttl = self.load_ttl();
        for peer in self.peers.values_mut().filter(|peer| !peer.loads.is_empty()) {
            let until = peer.heard_at + ttl;
            if now <= until {
                self.next_expiry = Some(self.next_expiry.map_or(until, |at| at.min(until)));
            } else {
                subtract(&mut self.total_loads, &std::mem::take(&mut peer.loads));
            }
        }
    }

    /// Number of live gateways whose load is not known to `node` for each one whose load is.
    ///
    /// Zero in a fleet in which all gateways are neighbours.
    #[must_use]
    pub fn unreported_ratio(&self, node: &str, now: time::Instant) -> f64 {
        if !self.is_partial_mesh() {
            return 0.0;
        }
        let ttl = self.load_ttl();
        let heard = self.peers.values().filter(|peer| peer.was_heard(ttl, now)).count();
        self.live_count(node, now).saturating_sub(heard) as f64 / heard.max(1) as f64
    }

    /// Number of other gateways that are alive, as known to `node`.
    ///
    /// If not all gateways are neighbours, it is estimated from the share of the neighbours that
    /// are alive. If most of them are silent, it is rather the links of `node` that fail, so all
    /// known gateways are counted.
    #[must_use]
    pub fn live_count(&self, node: &str, now: time::Instant) -> usize {
        if !self.is_partial_mesh() {
            let is_live = |peer: &&peer::Peer| peer.was_heard(LIVENESS_TIMEOUT, now);
            return self.peers.values().filter(is_live).count();
        }
        let neighbours = self.ring_neighbours(node, now);
        let is_live = |peer: &&&peer::Peer| peer.was_heard(LIVENESS_TIMEOUT, now);
        let live = neighbours.iter().filter(is_live).count();
        if live * 2 < neighbours.len() {
            return self.peers.len();
        }
        self.peers.len() * live / neighbours.len().max(1)
    }

    /// Number of other gateways that were listed or heard in the last [`PEER_EXPIRY`]; silent ones may
    /// be cut off only from here.
    #[must_use]
    pub fn known_count(&self) -> usize {
        self.peers.len()
    }

    /// Whether there are other gateways and none of them has been heard lately.
    #[must_use]
    pub fn is_cut_off(&self, now: time::Instant) -> bool {
        !self.peers.is_empty() && !self.peers.values().any(|peer| peer.was_heard(CUT_OFF, now))
    }

    /// Address of a gateway.
    #[must_use]
    pub fn address_of(&self, node: &str) -> Option<net::SocketAddr> {
        Some(self.peers.get(&position(node))?.address)
    }

    /// Names of all other known gateways, including silent ones.
    pub fn names(&self) -> impl Iterator<Item = &str> + Clone {
        self.peers.keys().map(|(_, node)| node.as_str())
    }

    /// What a gateway knows about its place among the candidates for the lease; `reachable` is for
    /// how long it has reached the store.
    #[must_use]
    pub fn standing(
        &self,
        node: &str,
        reachable: Option<Duration>,
        now: time::Instant,
    ) -> candidacy::Standing {
        let ttl = self.load_ttl();
        let before = self.peers.range(..position(node)).map(|(_, peer)| peer);
        let alive = before.filter(|peer| peer.was_heard(ttl, now));
        let (mut alive_before, mut able_before) = (0, 0);
        for peer in alive {
            alive_before += 1;
            able_before += usize::from(peer.can_report);
        }
        candidacy::Standing { alive_before, able_before, reachable }
    }

    /// Time within which a change at a gateway is known to the gateways that it sends messages to.
    #[must_use]
    pub fn news_delay(&self) -> Duration {
        self.load_ttl()
    }

    /// Whether a gateway is among the first `count` live gateways in the common order.
    #[must_use]
    pub fn is_among_first(&self, node: &str, count: usize, now: time::Instant) -> bool {
        self.standing(node, None, now).alive_before < count
    }

    /// Whether the reporter, which has collected counts for `collecting`, asks the others for
    /// them. In a small fleet they come by themselves; it asks only at first, for what the others
    /// know of processes that have ended.
    #[must_use]
    pub fn requests_counts(&self, collecting: Duration) -> bool {
        self.is_partial_mesh() || collecting < gossip_timing::discovery_time(self.peers.len() + 1)
    }

    /// Addresses of all other gateways.
    pub fn addresses(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.peers.values().map(|peer| peer.address)
    }

    /// Addresses of the first gateways in the common order, up to the one that completes
    /// [`REPORTER_COUNT`] live ones; one of these reports the usage counts.
    ///
    /// They reply to each message with counts; such messages are sent at intervals of `interval`.
    /// The one that asks for the counts itself is left out.
    #[must_use]
    pub fn reporters(&self, interval: Duration, now: time::Instant) -> Vec<net::SocketAddr> {
        let timeout = LIVENESS_TIMEOUT.max(interval * 3);
        let asks = |reporter: &&reporter::Reporter| {
            now.saturating_duration_since(reporter.heard_at) <= interval * 2
        };
        let asking = self.reporter.as_ref().filter(asks).map(|reporter| reporter.address);
        let mut live = 0;
        let mut addresses = Vec::new();
        for peer in self.peers.values().take(MAX_COUNT_RECIPIENTS) {
            addresses.push(peer.address);
            live += usize::from(peer.was_heard(timeout, now));
            if live == REPORTER_COUNT {
                break;
            }
        }
        addresses.retain(|address| Some(*address) != asking);
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

    /// Whether a gateway has been silent for so long that it is considered gone.
    #[must_use]
    pub fn is_expired(&self, node: &str, now: time::Instant) -> bool {
        self.peers.get(&position(node)).is_some_and(|peer| !peer.was_heard(PEER_EXPIRY, now))
    }

    /// Current time of day according to each gateway with a recent message.
    pub fn clock_estimates(&self, now: time::Instant) -> Vec<Duration> {
        let ttl = self.load_ttl();
        let recent = |peer: &peer::Peer| {
            let (at, time) = peer.wall_time?;
            let age = now.saturating_duration_since(at);
            (age < ttl).then_some(time + age)
        };
        self.peers.values().filter_map(recent).collect()
    }

    /// Usage counts of the other gateways.
    #[must_use]
    pub const fn counts(&self) -> &collected_counts::CollectedCounts {
        &self.counts
    }

    /// Gateways that may have counts of a window which are not known here; this gateway has asked
    /// for them for `collecting`.
    ///
    /// A gateway that was silent all through the window and since then is not waited for, nor is
    /// one that has stopped. One of an earlier version can't tell what is missing.
    #[must_use]
    pub fn missing_counts(
        &self,
        window: &usage_counts::EndedWindow,
        collecting: Duration,
        now: time::Instant,
    ) -> Vec<&str> {
        let since = window.end + report_readiness::RESPONSE_LAG;
        let silence = window.ended + window.length + self.load_ttl();
        let is_discovering = collecting < gossip_timing::discovery_time(self.peers.len() + 1);
        let has_left = |peer: &peer::Peer| peer.is_leaving && !peer.was_heard(self.load_ttl(), now);
        let may_count = |peer: &peer::Peer| {
            let is_relevant = is_discovering || peer.was_heard(silence, now);
            is_relevant && !peer.is_older && !has_left(peer)
        };
        let peers = self.peers.iter().filter(|(_, peer)| may_count(peer));
        let names = peers.map(|((_, node), _)| node.as_str());
        names.filter(|node| !self.counts.is_complete(node, window.number, since)).collect()
    }

    /// Time since the last message of each other gateway, in milliseconds.
    #[must_use]
    pub fn last_heard_ages(&self, now: time::Instant) -> Vec<(&str, u128)> {
        let age = |peer: &peer::Peer| now.saturating_duration_since(peer.heard_at).as_millis();
        self.peers.iter().map(|((_, node), peer)| (node.as_str(), age(peer))).collect()
    }

    /// Removes counts of windows of `length` that are no longer retained if `window` is the current
    /// one.
    pub fn prune_counts(&mut self, window: u64, length: Duration) {
        self.counts.prune(window, length);
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
