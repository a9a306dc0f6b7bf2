//! To which other gateways a gateway sends its messages.

use std::collections;
use std::net;

use tokio::time;
use xxhash_rust::xxh3;

use super::LIVENESS_TIMEOUT;
use super::peer;
use super::position;
use crate::decision::gossip_timing;

/// Neighbours on each side of the ring. Each message must be repeated while its load is valid, and
/// forty messages per second, sent and received, take one percent of a core.
const NEIGHBOURS_PER_SIDE: usize = gossip_timing::MAX_NEIGHBOURS / 2;

/// Gateways that each gateway tells news at once. In a fleet of thousands nearly all hear of it after
/// a few messages, the rest from their neighbours.
const NEWS_RECIPIENTS: usize = 6;

impl super::Peers {
    /// Addresses of the neighbours of a gateway, to which it sends its load.
    ///
    /// Silent neighbours are included, but don't count towards the number of neighbours, so that
    /// the two sides of a network partition find each other again.
    #[must_use]
    pub fn neighbours(&self, node: &str, now: time::Instant) -> Vec<net::SocketAddr> {
        if !self.is_partial_mesh() {
            let others = self.peers.iter().filter(|((_, name), _)| name != node);
            return others.map(|(_, peer)| peer.address).collect();
        }
        let mut seen = collections::HashSet::new();
        let neighbours = self.ring_neighbours(node, now).into_iter();
        neighbours.map(|peer| peer.address).filter(|address| seen.insert(*address)).collect()
    }

    /// Neighbours on both sides of a gateway in the ring.
    pub(super) fn ring_neighbours(&self, node: &str, now: time::Instant) -> Vec<&peer::Peer> {
        let own = position(node);
        let after = self.peers.range(&own..).chain(self.peers.range(..&own));
        let after = after.filter(|(position, _)| **position != own).map(|(_, peer)| peer);
        let mut neighbours = Vec::new();
        let sides: [&mut dyn Iterator<Item = &peer::Peer>; 2] =
            [&mut after.clone(), &mut after.rev()];
        for side in sides {
            let mut live = 0;
            for peer in side.take(NEIGHBOURS_PER_SIDE * 2) {
                neighbours.push(peer);
                live += usize::from(peer.was_heard(LIVENESS_TIMEOUT, now));
                if live == NEIGHBOURS_PER_SIDE {
                    break;
                }
            }
        }
        neighbours
    }

    /// Addresses of the gateways that are told news at once: one in each of some equal parts of the
    /// ring, selected by the random number `draw`.
    #[must_use]
    pub fn news_recipients(&self, draw: u32) -> Vec<net::SocketAddr> {
        let count = self.peers.len();
        let step = count.div_ceil(NEWS_RECIPIENTS).max(1);
        let addresses: Vec<_> = self.addresses().collect();
        let parts = addresses.chunks(step).zip(0_u32..);
        let select = |(part, number): (&[net::SocketAddr], u32)| {
            let mut key = [0; 8];
            key[..4].copy_from_slice(&draw.to_le_bytes());
            key[4..].copy_from_slice(&number.to_le_bytes());
            part[(xxh3::xxh3_64(&key) % part.len() as u64) as usize]
        };
        parts.map(select).collect()
    }

    /// Whether there are too many gateways for all of them to be neighbours.
    #[must_use]
    pub fn is_partial_mesh(&self) -> bool {
        self.peers.len() > NEIGHBOURS_PER_SIDE * 2
    }
}
