//! A fleet of simulated gateways that count requests and report usage, without sockets.
//!
//! The decisions are those of the gateway; the network, the store and the clock are simulated in
//! steps of [`STEP`]. Gateways can freeze, be cut from each other or from the store, and restart.

use std::collections;
use std::net;
use std::time::Duration;

use azuregap_coordination::lease;
use azuregap_coordination::store;
use azuregap_gateway::decision::candidacy;
use azuregap_gateway::decision::gossip_timing;
use azuregap_gateway::decision::report_readiness;
use azuregap_gateway::decision::usage_counts;
use azuregap_gateway::peers;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time;

use super::addresses;
use super::messages;
use super::report;

/// Resolution of the simulation, and the latency of a message.
pub const STEP: Duration = Duration::from_millis(100);

/// Length of a usage window.
pub const WINDOW: Duration = Duration::from_secs(5);

/// Time after the end of a window within which its report must be sent.
pub const DUE: Duration = Duration::from_millis(9_700);

/// Time before a restart in which counts may have been lost with the messages that carried them.
const UNSENT: Duration = Duration::from_secs(2);

/// Time in which a gateway stops.
const STOP_TIME: Duration = Duration::from_secs(2);

/// Time from the end of a process until it runs again.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Time of day at the start of the simulation, a window's start.
const EPOCH: Duration = Duration::from_secs(1_000_000);

/// One gateway.
pub struct Gateway {
    name: String,
    address: net::SocketAddr,
    peers: peers::Peers,
    counts: usage_counts::UsageCounts,
    lease: lease::Lease,
    event: lease::Event,
    incarnation: u64,
    reachable_since: Option<Duration>,
    next_load: Duration,
    next_counts: Duration,
    next_request: Duration,
    reporting: Option<u64>,
    reporting_since: Duration,
    /// Until when its process is down.
    down_until: Duration,
    /// Until when it is frozen.
    pub frozen_until: Duration,
    /// Until when it reaches no other gateway.
    pub cut_until: Duration,
    /// Since when it is stopping, if it is; it is gone two seconds later.
    pub stopping_at: Duration,
    /// Until when the store turns it away.
    pub away_until: Duration,
}

/// The fleet with its network and store.
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    /// Time since the start.
    pub now: Duration,
    pub reports: collections::BTreeMap<u64, report::Report>,
    /// Requests that were run, by window and gateway.
    pub truth: collections::BTreeMap<u64, collections::BTreeMap<usage_counts::TeamHash, u64>>,
    /// Requests whose counts were lost by a restart, at most.
    pub lost: u64,
    origin: time::Instant,
    rng: ChaCha8Rng,
    loss: f64,
    in_flight: Vec<(usize, usize, peers::GossipMessage)>,
    lease_row: (u64, Option<lease::LeaseRow>),
    version: u64,
}

impl Gateway {
    fn new(index: usize, fleet: usize, incarnation: u64, now: Duration, at: time::Instant) -> Self {
        let name = format!("g-{index}");
        let mut peers = peers::Peers::default();
        for other in (0..fleet).filter(|other| *other != index) {
            peers.add_listed(format!("g-{other}"), addresses::address(other), at);
        }
        let timing = lease::Timing::new(Duration::from_secs(3));
        Self {
            lease: lease::Lease::new(name.clone(), incarnation, timing).succeeds_itself(),
            name,
            address: addresses::address(index),
            peers,
            counts: usage_counts::UsageCounts::new(),
            event: lease::Event::Tick,
            incarnation,
            reachable_since: Some(now),
            next_load: now,
            next_counts: now,
            next_request: now,
            reporting: None,
            reporting_since: Duration::ZERO,
            down_until: Duration::ZERO,
            frozen_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            stopping_at: Duration::MAX,
            away_until: Duration::ZERO,
        }
    }

    fn message(&self, now: Duration) -> peers::GossipMessage {
        peers::GossipMessage {
            incarnation: self.incarnation,
            wall_time: EPOCH + now,
            notice: Some(peers::UsageNotice {
                can_report: self.reachable_since.is_some(),
                is_leaving: now >= self.stopping_at,
                ..peers::UsageNotice::default()
            }),
            ..messages::empty(&self.name)
        }
    }

    fn counts_message(&self, now: Duration) -> peers::GossipMessage {
        let count = |(window, team, requests)| peers::UsageCount { window, team, requests };
        let mut message = self.message(now);
        message.counts = self.counts.newest(4).map(count).collect();
        if let Some(notice) = &mut message.notice {
            notice.totals = Some(self.counts.totals(4));
        }
        message
    }
}

impl Fleet {
    /// A fleet that loses `loss` of its messages.
    pub fn new(size: usize, seed: u64, loss: f64) -> Self {
        let origin = time::Instant::now();
        let gateway = |index| Gateway::new(index, size, 1, Duration::ZERO, origin);
        Self {
            gateways: (0..size).map(gateway).collect(),
            now: Duration::ZERO,
            reports: collections::BTreeMap::new(),
            truth: collections::BTreeMap::new(),
            lost: 0,
            origin,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
            in_flight: Vec::new(),
            lease_row: (0, None),
            version: 0,
        }
    }

    /// A random number below `bound`.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    /// The gateway that holds the lease and is awake.
    pub fn holder(&self) -> Option<usize> {
        let holds = |gateway: &Gateway| gateway.lease.fencing_token(self.at()).is_some();
        self.gateways.iter().position(|g| holds(g) && g.frozen_until <= self.now)
    }

    /// Gateways in the order in which they compete for the lease.
    pub fn order(&self) -> Vec<usize> {
        let before = |index: &usize| {
            let gateway = &self.gateways[*index];
            gateway.peers.standing(&gateway.name, None, self.origin).alive_before
        };
        let mut order: Vec<_> = (0..self.gateways.len()).collect();
        order.sort_by_key(before);
        order
    }

    /// Kills a gateway's process and starts it again.
    pub fn restart(&mut self, index: usize) {
        let old = &self.gateways[index];
        // What it counted in the last intervals may not have arrived.
        self.lost += (UNSENT.as_millis() / STEP.as_millis()) as u64;
        let (incarnation, frozen, cut, away) =
            (old.incarnation + 1, old.frozen_until, old.cut_until, old.away_until);
        let mut gateway =
            Gateway::new(index, self.gateways.len(), incarnation, self.now, self.at());
        (gateway.frozen_until, gateway.cut_until, gateway.away_until) = (frozen, cut, away);
        gateway.down_until = self.now + DOWN_TIME;
        self.gateways[index] = gateway;
    }

    fn at(&self) -> time::Instant {
        self.origin + self.now
    }

    /// Plays until `until`.
    pub fn run_until(&mut self, until: Duration) {
        while self.now < until {
            self.step();
        }
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        let is_cut = |index: usize| self.gateways[index].cut_until > self.now;
        !is_cut(from) && !is_cut(to) && self.gateways[to].down_until <= self.now
    }

    fn send(&mut self, from: usize, to: &[net::SocketAddr], message: &peers::GossipMessage) {
        for address in to {
            if self.rng.random::<f64>() >= self.loss {
                self.in_flight.push((from, addresses::index_of(*address), message.clone()));
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for (from, to, message) in std::mem::take(&mut self.in_flight) {
            if self.gateways[to].frozen_until > self.now {
                // The socket of a frozen process still receives.
                self.in_flight.push((from, to, message));
            } else if self.is_connected(from, to) {
                self.deliver(from, to, message);
            }
        }
        for index in 0..self.gateways.len() {
            let gateway = &self.gateways[index];
            let is_gone = self.now >= gateway.stopping_at.saturating_add(STOP_TIME);
            if gateway.frozen_until.max(gateway.down_until) <= self.now && !is_gone {
                self.run_gateway(index);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, mut message: peers::GossipMessage) {
        let (at, from_address) = (self.at(), self.gateways[from].address);
        let gateway = &mut self.gateways[to];
        message.discard_relayed(&gateway.name, gateway.incarnation);
        let reply = match gateway.peers.handle_message(message, from_address, at) {
            peers::Reply::Counts => {
                let mut message = gateway.counts_message(self.now);
                let silence = gossip_timing::count_interval(self.gateways.len()) * 2;
                let gateway = &self.gateways[to];
                let time = EPOCH + self.now;
                let relayed = gateway.peers.counts().of_silent(silence, 4, time).collect();
                message.notice.get_or_insert_default().relayed = relayed;
                message
            }
            peers::Reply::Acknowledgement if gateway.reporting.is_none() => {
                gateway.message(self.now)
            }
            peers::Reply::Acknowledgement | peers::Reply::Introduction | peers::Reply::None => {
                return;
            }
        };
        self.send(to, &[from_address], &reply);
    }

    fn run_gateway(&mut self, index: usize) {
        let (now, at) = (self.now, self.at());
        let window = usage_counts::window_at(EPOCH + now, WINDOW);
        let gateway = &mut self.gateways[index];
        gateway.counts.increment(window, addresses::team(index));
        *self.truth.entry(window).or_default().entry(addresses::team(index)).or_default() += 1;
        if now < gateway.away_until {
            gateway.reachable_since = None;
        } else {
            gateway.reachable_since.get_or_insert(now);
        }
        gateway.peers.prune_counts(window, WINDOW);
        self.exchange(index, at);
        self.compete(index, at);
        self.report(index, at);
    }

    fn exchange(&mut self, index: usize, at: time::Instant) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let count_interval =
            gossip_timing::count_interval(gateway.peers.live_count(&gateway.name, at) + 1);
        let is_partial = gateway.peers.is_partial_mesh();
        let mut sends = Vec::new();
        if now >= gateway.next_load {
            let neighbours = gateway.peers.neighbours(&gateway.name, at);
            gateway.next_load = now + gossip_timing::load_interval(neighbours.len());
            let message =
                if is_partial { gateway.message(now) } else { gateway.counts_message(now) };
            sends.push((neighbours, message));
        }
        if is_partial && now >= gateway.next_counts {
            gateway.next_counts = now + count_interval;
            let reporters = gateway.peers.reporters(count_interval, at);
            sends.push((reporters, gateway.counts_message(now)));
        }
        if let Some(fence) = gateway.reporting
            && gateway.peers.requests_counts(now - gateway.reporting_since)
            && now >= gateway.next_request
        {
            gateway.next_request = now + count_interval;
            let mut message = gateway.message(now);
            message.notice.get_or_insert_default().counts_wanted = Some(fence);
            sends.push((gateway.peers.addresses().collect(), message));
        }
        for (addresses, message) in sends {
            self.send(index, &addresses, &message);
        }
    }

    fn compete(&mut self, index: usize, at: time::Instant) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let reachable = gateway.reachable_since.map(|since| now - since);
        let standing = gateway.peers.standing(&gateway.name, reachable, at);
        let competes = candidacy::competes(standing, gateway.peers.news_delay());
        if competes || gateway.lease.row_version().is_some() {
            let event = std::mem::replace(&mut gateway.event, lease::Event::Tick);
            let is_reached = gateway.reachable_since.is_some();
            let row = &mut self.lease_row;
            gateway.event = match gateway.lease.handle(event, at) {
                lease::Action::Read if is_reached => lease::Event::ReadDone(store::VersionedRow {
                    version: row.0,
                    value: row.1.clone(),
                }),
                lease::Action::Read => lease::Event::ReadFailed,
                lease::Action::Write { .. } if !is_reached => {
                    lease::Event::WriteDone(store::WriteOutcome::Refused)
                }
                lease::Action::Write { version, row: new } => {
                    lease::Event::WriteDone(if version == row.0 {
                        self.version += 1;
                        *row = (self.version, Some(new));
                        store::WriteOutcome::Applied(self.version)
                    } else {
                        store::WriteOutcome::Conflict
                    })
                }
                _ => lease::Event::Tick,
            };
        }
        let is_held = gateway.lease.valid_until().is_some_and(|until| at < until);
        let reporting = gateway.lease.held_fence().filter(|_| is_held);
        if gateway.reporting != reporting {
            (gateway.next_request, gateway.reporting_since) = (now, now);
        }
        gateway.reporting = reporting;
    }

    fn report(&mut self, index: usize, at: time::Instant) {
        let wall = EPOCH + self.now;
        let gateway = &self.gateways[index];
        let holds = gateway.lease.fencing_token(at).is_some()
            && gateway.lease.row_version() == Some(self.lease_row.0)
            && gateway.reachable_since.is_some();
        if !holds {
            return;
        }
        let oldest = usage_counts::window_at(wall.saturating_sub(DUE), WINDOW).saturating_sub(1);
        for number in oldest..usage_counts::window_at(wall, WINDOW) {
            let window = usage_counts::EndedWindow::new(number, WINDOW, wall);
            if window.ended > DUE || self.reports.contains_key(&number) {
                continue;
            }
            let collecting = self.now - gateway.reporting_since;
            let progress = report_readiness::Progress {
                ended: window.ended,
                collecting,
                missing: gateway.peers.missing_counts(&window, collecting, at).len(),
            };
            let gateways = gateway.peers.live_count(&gateway.name, at) + 1;
            if report_readiness::may_freeze(progress, gateways, DUE) {
                let mut counts = collections::BTreeMap::new();
                gateway.counts.add_to(number, &mut counts);
                gateway.peers.counts().add_to(number, &mut counts);
                let report = report::Report { ended: window.ended, counts };
                self.reports.insert(number, report);
            }
        }
    }

    /// Windows that have ended and whose report is due.
    pub fn due_windows(&self) -> impl Iterator<Item = u64> {
        let last = usage_counts::window_at((EPOCH + self.now).saturating_sub(DUE), WINDOW);
        self.truth.keys().copied().filter(move |window| *window < last)
    }

    /// Time since the start at which a window ends.
    pub fn end_of(window: u64) -> Duration {
        WINDOW * (window as u32 + 1) - EPOCH
    }
}
