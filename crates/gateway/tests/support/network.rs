//! The simulated network, store and processes of a fleet of gateways, in steps of [`STEP`], without
//! sockets. What the gateways do with their requests is up to the fleet that uses it.

use std::collections;
use std::net;
use std::ops;
use std::time::Duration;

use azuregap_gateway::decision::gossip_timing;
use azuregap_gateway::decision::membership;
use azuregap_gateway::peers;
use tokio::time;

use super::addresses;

/// Resolution of the simulation, and the latency of a message.
pub const STEP: Duration = Duration::from_millis(50);

/// Time from the end of a process until it runs again.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Something that happens to gateways, or to the load.
#[derive(Clone, Debug)]
pub enum Event {
    /// Their processes end and start again.
    End(ops::Range<usize>),
    /// They stand still.
    Freeze(ops::Range<usize>, Duration),
    /// They reach no other gateway.
    Isolate(ops::Range<usize>, Duration),
    /// They don't reach the store.
    Detach(ops::Range<usize>, Duration),
    /// New gateways start.
    Add(usize),
    /// They are gone for good.
    Remove(ops::Range<usize>),
    /// Callers send this many requests per second to each gateway.
    Rate(ops::Range<usize>, f64),
    /// The share of the sends that fail.
    Failures(f64),
}

/// A gateway, with the state `T` that concerns its requests.
pub struct Gateway<T> {
    pub name: String,
    pub peers: peers::Peers,
    pub membership: membership::Membership,
    pub load: T,
    /// Requests per second that callers send.
    pub rate: f64,
    /// Part of the next request.
    pub credit: f64,
    pub is_removed: bool,
    address: net::SocketAddr,
    next_message: Duration,
    next_list: Duration,
    list_interval: Duration,
    down_until: Duration,
    frozen_until: Duration,
    isolated_until: Duration,
    detached_until: Duration,
    registered: bool,
}

impl<T> Gateway<T> {
    fn new(index: usize, load: T, now: Duration) -> Self {
        Self {
            name: format!("g-{index}"),
            peers: peers::Peers::default(),
            membership: membership::Membership::default(),
            load,
            rate: 0.0,
            credit: 0.0,
            is_removed: false,
            address: addresses::address(index),
            next_message: now,
            next_list: now,
            list_interval: Duration::from_secs(1),
            down_until: now,
            frozen_until: now,
            isolated_until: now,
            detached_until: now,
            registered: false,
        }
    }

    /// Whether its process runs.
    pub fn runs(&self, now: Duration) -> bool {
        !self.is_removed && now >= self.down_until && now >= self.frozen_until
    }

    /// Number of requests that callers send it in this step.
    pub fn take_requests(&mut self) -> usize {
        self.credit += self.rate * STEP.as_secs_f64();
        let count = self.credit as usize;
        self.credit -= count as f64;
        if self.is_removed { 0 } else { count }
    }

    fn message(&self, news: peers::News) -> peers::GossipMessage {
        peers::GossipMessage {
            node: self.name.clone(),
            incarnation: 1,
            wall_time: Duration::ZERO,
            loads: Vec::new(),
            counts: Vec::new(),
            cached: Vec::new(),
            news,
            notice: Some(peers::UsageNotice::default()),
        }
    }
}

/// What a fleet does with the state of its gateways.
pub struct Hooks<T> {
    /// State of a process that has just started.
    pub start: Box<dyn Fn() -> T>,
    /// News in a gateway's messages.
    pub news: fn(&mut T, time::Instant) -> peers::News,
    /// Takes over the news of another gateway.
    pub receive: fn(&mut T, &peers::News, time::Instant),
}

/// Gateways, the network between them and the store's list of gateways.
pub struct Network<T> {
    pub gateways: Vec<Gateway<T>>,
    /// Time since the start.
    pub now: Duration,
    listed: collections::BTreeMap<String, net::SocketAddr>,
    origin: time::Instant,
    hooks: Hooks<T>,
}

impl<T> Network<T> {
    /// Starts gateways; no caller sends requests yet.
    pub fn new(gateways: usize, hooks: Hooks<T>) -> Self {
        let start = |index| Gateway::new(index, (hooks.start)(), Duration::ZERO);
        Self {
            gateways: (0..gateways).map(start).collect(),
            now: Duration::ZERO,
            listed: collections::BTreeMap::new(),
            origin: time::Instant::now(),
            hooks,
        }
    }

    /// The time of the gateways' clocks.
    pub fn instant(&self) -> time::Instant {
        self.origin + self.now
    }

    /// Lets an event happen; those of the load are up to the fleet.
    pub fn apply(&mut self, event: &Event) {
        let now = self.now;
        match event.clone() {
            Event::End(range) => range.for_each(|index| self.restart(index)),
            Event::Freeze(range, span) => {
                self.update(range, |gateway| gateway.frozen_until = now + span);
            }
            Event::Isolate(range, span) => {
                self.update(range, |gateway| gateway.isolated_until = now + span);
            }
            Event::Detach(range, span) => {
                self.update(range, |gateway| gateway.detached_until = now + span);
            }
            Event::Remove(range) => self.update(range, |gateway| gateway.is_removed = true),
            Event::Rate(range, rate) => self.update(range, |gateway| gateway.rate = rate),
            Event::Add(count) => {
                for _ in 0..count {
                    let load = (self.hooks.start)();
                    let mut gateway = Gateway::new(self.gateways.len(), load, now);
                    gateway.rate = self.gateways[0].rate;
                    self.gateways.push(gateway);
                }
            }
            Event::Failures(_) => {}
        }
    }

    fn update(&mut self, range: ops::Range<usize>, change: impl FnMut(&mut Gateway<T>)) {
        let end = range.end.min(self.gateways.len());
        self.gateways[range.start.min(end)..end].iter_mut().for_each(change);
    }

    fn restart(&mut self, index: usize) {
        let now = self.now;
        let Some(old) = self.gateways.get_mut(index).filter(|old| !old.is_removed) else { return };
        let mut new = Gateway::new(index, (self.hooks.start)(), now + DOWN_TIME);
        new.rate = old.rate;
        (new.isolated_until, new.detached_until) = (old.isolated_until, old.detached_until);
        *old = new;
    }

    /// Reads the list of gateways and exchanges messages, as far as it is time for a gateway.
    pub fn run_gateway(&mut self, index: usize) {
        self.read_list(index);
        self.send_messages(index);
    }

    /// Registers a gateway and reads the list at its intervals.
    fn read_list(&mut self, index: usize) {
        let (now, at) = (self.now, self.instant());
        let gateway = &mut self.gateways[index];
        if now < gateway.next_list || now < gateway.detached_until {
            return;
        }
        if self.listed.insert(gateway.name.clone(), gateway.address).is_none()
            || !gateway.registered
        {
            gateway.registered = true;
            gateway.membership.record_registration(at);
        }
        for (name, address) in self.listed.iter().filter(|(name, _)| **name != gateway.name) {
            gateway.peers.add_listed(name.clone(), *address, at);
        }
        let others = self.listed.keys().filter(|name| **name != gateway.name);
        gateway.membership.record_list(others.cloned(), at);
        gateway.next_list = now + gateway.list_interval;
        gateway.list_interval = (gateway.list_interval * 2).min(Duration::from_secs(20));
    }

    fn send_messages(&mut self, index: usize) {
        let (now, at) = (self.now, self.instant());
        let sender = &mut self.gateways[index];
        if now < sender.next_message {
            return;
        }
        sender.peers.remove_expired(at);
        let addresses = sender.peers.neighbours(&sender.name, at);
        sender.next_message = now + gossip_timing::load_interval(addresses.len());
        if now < sender.isolated_until {
            return;
        }
        let news = (self.hooks.news)(&mut sender.load, at);
        let (message, from) = (sender.message(news), sender.address);
        for address in addresses {
            let receiver = &mut self.gateways[addresses::index_of(address)];
            if receiver.runs(now) && now >= receiver.isolated_until {
                receiver.membership.record_message(&message.node, at);
                receiver.peers.handle_message(message.clone(), from, at);
                (self.hooks.receive)(&mut receiver.load, &message.news, at);
            }
        }
    }
}
