//! A fleet of simulated gateways that send requests to one backend server with a limit, without
//! sockets.
//!
//! The decisions are those of the gateway; the callers and the backend server are simulated, and the
//! network and the store as in [`network`].

use std::collections;
use std::ops;
use std::time::Duration;

use azuregap_gateway::decision::backend_limit;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time;

use super::network;
pub use super::network::Event;
use super::network::STEP;

/// Length of a window of the bound.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Time after the first response that names the limit from which on the bound holds.
const CONTACT: Duration = Duration::from_secs(3);

/// Time from a response that names the limit until the gateway's requests count.
const TOLD: Duration = Duration::from_millis(500);

/// Time from a send until the request arrives, at most.
const MAX_TRANSIT_MS: u64 = 200;

/// Time from a request until its response begins, at most.
const MAX_RESPONSE_MS: u64 = 400;

/// Hash of the backend server's id, and the start of its run.
const BACKEND: u32 = 7;
const RUN: u64 = 1;

/// Limits that the store keeps, by the hash of the backend server's id.
type Saved = collections::BTreeMap<u32, backend_limit::SavedLimit>;

/// A request until its response begins.
struct Sent {
    sent_at: Duration,
    responds_at: Duration,
    limit: Option<f64>,
}

/// What a gateway knows of the limit.
#[derive(Default)]
struct Load {
    limits: backend_limit::BackendLimits,
    pending: Vec<Sent>,
}

/// The fleet, its callers and the backend server.
pub struct Fleet {
    network: network::Network<Load, Saved>,
    rng: ChaCha8Rng,
    /// Limits that the backend server names, each until the time at which the next one begins.
    limits: Vec<(Duration, Option<f64>)>,
    /// When each gateway first passed on a response that names a limit, since the last time that the
    /// backend server named none. A process that has started again is still the same gateway.
    told: Vec<Option<Duration>>,
    /// Arrivals, and whether the gateway had been told by then.
    arrivals: Vec<(Duration, bool)>,
}

/// Share of the limit that a gateway uses.
fn share(gateway: &network::Gateway<Load>, now: time::Instant) -> Option<f64> {
    let standing = gateway.membership.standing(backend_limit::WINDOW, now);
    backend_limit::share(BACKEND, &gateway.name, gateway.peers.names(), standing)
}

/// Reads and saves limits as the gateway does.
fn save(
    gateway: &mut network::Gateway<Load>,
    saved: &mut Saved,
    is_read: bool,
    now: time::Instant,
) {
    if is_read {
        saved.values().for_each(|saved| {
            gateway.load.limits.record_saved(saved, now);
        });
    }
    let is_holder = |_| share(gateway, now).is_some();
    for unsaved in gateway.load.limits.unsaved(is_holder) {
        let backend_limit::Unsaved { backend_hash, started_ms, limit } = unsaved;
        match limit {
            None => drop(saved.remove(&backend_hash)),
            Some(limit) => {
                let saved_at = Duration::ZERO;
                let new = backend_limit::SavedLimit { backend_hash, started_ms, limit, saved_at };
                saved.insert(backend_hash, new);
            }
        }
        gateway.load.limits.mark_saved(&unsaved);
    }
}

impl Fleet {
    /// Starts a fleet before a backend server that names `limits`, each from a time on.
    pub fn new(gateways: usize, limits: Vec<(Duration, Option<f64>)>, seed: u64) -> Self {
        let hooks = network::Hooks {
            start: Box::new(Load::default),
            tell: |load, message, now| message.limits = load.limits.tell(now),
            save,
            receive: |load, message, now| {
                for told in &message.limits {
                    load.limits.record_told(told, now);
                }
            },
        };
        Self {
            network: network::Network::new(gateways, hooks),
            rng: ChaCha8Rng::seed_from_u64(seed),
            limits,
            told: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Plays events, each at its time, until the end.
    pub fn play(&mut self, events: &[(Duration, Event)], end: Duration) {
        let mut events = events.iter().peekable();
        while self.network.now < end {
            while let Some((_, event)) = events.next_if(|(at, _)| *at <= self.network.now) {
                self.network.apply(event);
            }
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.network.now;
        if self.namings().any(|at| at == now) {
            self.told.clear();
        }
        self.told.resize(self.network.gateways.len(), None);
        for index in 0..self.network.gateways.len() {
            if self.network.gateways[index].runs(now) {
                self.network.run_gateway(index);
                self.read_responses(index);
            }
            for _ in 0..self.network.gateways[index].take_requests() {
                if self.network.gateways[index].serves(now) {
                    self.send(index);
                }
            }
        }
        self.network.now += STEP;
    }

    /// The limit that the backend server names.
    fn named(&self, at: Duration) -> Option<f64> {
        let named = self.limits.iter().take_while(|(from, _)| *from <= at).last();
        named.and_then(|(_, limit)| *limit)
    }

    fn read_responses(&mut self, index: usize) {
        let (now, at) = (self.network.now, self.network.instant());
        let load = &mut self.network.gateways[index].load;
        for sent in load.pending.extract_if(.., |sent| sent.responds_at <= now) {
            let limit = sent.limit.map_or(backend_limit::NamedLimit::None, |limit| {
                backend_limit::NamedLimit::from_rate(limit)
            });
            let sent_at = at - (now - sent.sent_at);
            let statement = backend_limit::Statement { limit, sent_at, heard_at: at };
            load.limits.record(BACKEND, RUN, &statement, at);
            if sent.limit.is_some() {
                self.told[index].get_or_insert(now);
            }
        }
    }

    /// Sends a request to the backend server, if the gateway may.
    fn send(&mut self, index: usize) {
        let (now, at) = (self.network.now, self.network.instant());
        let gateway = &mut self.network.gateways[index];
        let share = share(gateway, at);
        if !gateway.load.limits.try_send(BACKEND, RUN, || share, at) {
            return;
        }
        let arrives_at = now + Duration::from_millis(self.rng.random_range(0..MAX_TRANSIT_MS));
        let is_told = self.told[index].is_some_and(|told| arrives_at >= told + TOLD);
        self.arrivals.push((arrives_at, is_told));
        let limit = self.named(arrives_at);
        let delay = Duration::from_millis(self.rng.random_range(10..MAX_RESPONSE_MS));
        let sent = Sent { sent_at: now, responds_at: arrives_at + delay, limit };
        self.network.gateways[index].load.pending.push(sent);
    }

    /// When the backend server names a limit after it had named none.
    fn namings(&self) -> impl Iterator<Item = Duration> {
        let names = |limits: &[(Duration, Option<f64>)]| match limits {
            [(_, None), (at, Some(_))] => Some(*at),
            _ => None,
        };
        self.limits.windows(2).filter_map(names)
    }

    /// Whether the bound holds for windows that end at `end`.
    fn is_bound(&self, end: Duration) -> bool {
        let last = self.namings().take_while(|at| *at <= end).last();
        last.is_some_and(|at| end >= at + CONTACT)
    }

    /// Requests that the limits allow in a window that ends at `end`, where no limit at all is
    /// infinite.
    fn allowed(&self, end: Duration) -> f64 {
        let begin = end.saturating_sub(WINDOW);
        let ends = self.limits.iter().skip(1).map(|(from, _)| *from).chain([Duration::MAX]);
        let spans = self.limits.iter().zip(ends);
        let highest = spans
            .filter(|((from, _), until)| *from <= end && *until > begin)
            .map(|((_, limit), _)| limit.unwrap_or(f64::INFINITY))
            .fold(0.0, f64::max);
        1.5 * highest * WINDOW.as_secs_f64() + 5.0
    }

    /// The window in which the most requests exceed what is allowed: its end, the requests in it of
    /// gateways that had been told, and the requests allowed.
    pub fn worst_window(&self) -> (Duration, usize, f64) {
        let mut told: Vec<_> =
            self.arrivals.iter().filter(|(_, is_told)| *is_told).map(|(at, _)| *at).collect();
        told.sort_unstable();
        let count_until = |at| told.partition_point(|time| *time <= at);
        let window_at = |end: &Duration| {
            let count = count_until(*end) - end.checked_sub(WINDOW).map_or(0, count_until);
            (*end, count, self.allowed(*end))
        };
        let excess = |window: &(Duration, usize, f64)| window.1 as f64 - window.2;
        let windows = told.iter().filter(|end| self.is_bound(**end)).map(window_at);
        windows.max_by(|a, b| excess(a).total_cmp(&excess(b))).unwrap_or_default()
    }

    /// Requests that arrived in a span of time.
    pub fn arrivals_in(&self, span: ops::Range<Duration>) -> usize {
        self.arrivals.iter().filter(|(at, _)| span.contains(at)).count()
    }
}
