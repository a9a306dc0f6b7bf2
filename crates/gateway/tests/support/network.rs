//! The simulated network, store and processes of a fleet of gateways, in steps of [`STEP`], without
//! sockets. What the gateways do with their requests is up to the fleet that uses it.

use std::collections;
use std::net;
use std::ops;
use std::time::Duration;

use azuregap_gateway::decision::gossip_timing;
use azuregap_gateway::decision::membership;
use azuregap_gateway::peers;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use tokio::time;

use super::addresses;
use super::messages;

/// Resolution of the simulation, and the latency of a message.
pub const STEP: Duration = Duration::from_millis(50);

/// Time from the end of a process until it runs again.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Interval at which a gateway introduces itself to those that haven't answered.
const INTRODUCTION_INTERVAL: Duration = Duration::from_secs(1);

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
    /// Others take their names at new addresses, while they run on and are cut off.
    Replace(ops::Range<usize>),
    /// The store comes back from a copy of this age.
    Restore(Duration),
    /// Callers send this many requests per second to each gateway.
    Rate(ops::Range<usize>, f64),
    /// The share of the sends that fail.
    Failures(f64),
}

/// Three to eleven disruptions at random times in `from` that overlap, and callers that send up to
/// `most` requests per second.
pub fn random_events(
    gateways: usize,
    from: ops::Range<u64>,
    most: f64,
    rng: &mut ChaCha8Rng,
) -> Vec<(u64, Event)> {
    let mut events = Vec::new();
    for _ in 0..rng.random_range(3..12) {
        let first = rng.random_range(0..gateways);
        let range = first..rng.random_range(first..gateways) + 1;
        let span = Duration::from_millis(rng.random_range(500..20_000));
        let event = match rng.random_range(0..8) {
            0..3 => Event::End(range),
            3 => Event::Freeze(range, span / 3),
            4 => Event::Isolate(range, span),
            5 => Event::Detach(range, span),
            6 => Event::Add(rng.random_range(1..=range.len())),
            _ => Event::Rate(range, rng.random_range(0.0..most)),
        };
        events.push((rng.random_range(from.clone()), event));
    }
    events
}

/// One to three losses of gateways, or of what the store knows of them, at random times in `from`, and
/// as many ends of all processes.
pub fn random_losses(
    gateways: usize,
    from: ops::Range<u64>,
    rng: &mut ChaCha8Rng,
) -> Vec<(u64, Event)> {
    let mut events = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        let first = rng.random_range(0..gateways);
        let range = first..rng.random_range(first..gateways) + 1;
        let event = match rng.random_range(0..3) {
            0 => Event::Remove(range),
            1 => Event::Replace(range),
            _ => Event::Restore(Duration::from_millis(rng.random_range(500..10_000))),
        };
        events.push((rng.random_range(from.clone()), event));
        events.push((rng.random_range(from.clone()), Event::End(0..usize::MAX)));
    }
    events
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
    next_introduction: Duration,
    next_list: Duration,
    list_interval: Duration,
    down_until: Duration,
    frozen_until: Duration,
    isolated_until: Duration,
    detached_until: Duration,
    registered: bool,
    /// Era of the store in which it registered.
    era: u64,
}

/// An entry in the list of gateways.
#[derive(Clone)]
struct Entry {
    address: net::SocketAddr,
    known_in: Option<u64>,
    is_replacement: bool,
}

type List = collections::BTreeMap<String, Entry>;

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
            next_introduction: now + INTRODUCTION_INTERVAL,
            next_list: now,
            list_interval: Duration::from_secs(1),
            down_until: now,
            frozen_until: now,
            isolated_until: now,
            detached_until: now,
            registered: false,
            era: 0,
        }
    }

    /// Whether its process runs.
    pub fn runs(&self, now: Duration) -> bool {
        !self.is_removed && now >= self.down_until && now >= self.frozen_until
    }

    /// Whether it reaches the store and the other gateways.
    pub fn is_connected(&self, now: Duration) -> bool {
        now >= self.isolated_until && now >= self.detached_until
    }

    /// Whether it serves requests: its process runs and has read the configuration from the store.
    pub fn serves(&self, now: Duration) -> bool {
        self.runs(now) && self.registered
    }

    /// Number of requests that callers send it in this step.
    pub fn take_requests(&mut self) -> usize {
        self.credit += self.rate * STEP.as_secs_f64();
        let count = self.credit as usize;
        self.credit -= count as f64;
        if self.is_removed { 0 } else { count }
    }
}

/// What a fleet does with the state of its gateways, and with what the store keeps for them, `S`.
pub struct Hooks<T, S> {
    /// State of a process that has just started.
    pub start: Box<dyn Fn() -> T>,
    /// Adds to a message what the gateway tells.
    pub tell: fn(&mut T, &mut peers::GossipMessage, time::Instant),
    /// Reads what the store keeps beside the list of gateways, if that is being read, and saves to it.
    pub save: fn(&mut Gateway<T>, &mut S, bool, time::Instant),
    /// Takes over what another gateway tells.
    pub receive: fn(&mut T, &peers::GossipMessage, time::Instant),
}

/// Gateways, the network between them and the store's list of gateways.
pub struct Network<T, S> {
    pub gateways: Vec<Gateway<T>>,
    /// Time since the start.
    pub now: Duration,
    listed: List,
    /// The list as it was at the beginning of each second.
    copies: Vec<List>,
    /// Era of the store.
    era: u64,
    saved: S,
    origin: time::Instant,
    hooks: Hooks<T, S>,
}

impl<T, S: Default> Network<T, S> {
    /// Starts gateways; no caller sends requests yet.
    pub fn new(gateways: usize, hooks: Hooks<T, S>) -> Self {
        let start = |index| Gateway::new(index, (hooks.start)(), Duration::ZERO);
        Self {
            gateways: (0..gateways).map(start).collect(),
            now: Duration::ZERO,
            listed: List::new(),
            copies: Vec::new(),
            era: 0,
            saved: S::default(),
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
            Event::End(range) => {
                let end = range.end.min(self.gateways.len());
                (range.start..end).for_each(|index| self.restart(index));
            }
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
            Event::Replace(range) => range.for_each(|index| self.replace(index)),
            Event::Restore(age) => {
                let second = now.saturating_sub(age).as_secs() as usize;
                self.listed = self.copies.get(second).cloned().unwrap_or_default();
                self.era += 1;
            }
            Event::Failures(_) => {}
        }
    }

    /// Starts a gateway with the name of another one, which is cut off for long.
    fn replace(&mut self, index: usize) {
        let now = self.now;
        let mut new = Gateway::new(self.gateways.len(), (self.hooks.start)(), now + DOWN_TIME);
        let Some(old) = self.gateways.get_mut(index).filter(|old| !old.is_removed) else { return };
        (new.name, new.rate) = (old.name.clone(), old.rate);
        (old.isolated_until, old.detached_until) = (Duration::MAX, Duration::MAX);
        self.gateways.push(new);
    }

    fn update(&mut self, range: ops::Range<usize>, change: impl FnMut(&mut Gateway<T>)) {
        let end = range.end.min(self.gateways.len());
        self.gateways[range.start.min(end)..end].iter_mut().for_each(change);
    }

    fn restart(&mut self, index: usize) {
        let now = self.now;
        let Some(old) = self.gateways.get_mut(index).filter(|old| !old.is_removed) else { return };
        let mut new = Gateway::new(index, (self.hooks.start)(), now + DOWN_TIME);
        (new.name, new.rate) = (old.name.clone(), old.rate);
        (new.isolated_until, new.detached_until) = (old.isolated_until, old.detached_until);
        *old = new;
    }

    /// Reads the list of gateways and exchanges messages, as far as it is time for a gateway.
    pub fn run_gateway(&mut self, index: usize) {
        self.read_list(index);
        self.send_messages(index);
        self.introduce(index);
    }

    /// Registers a gateway and reads the list at its intervals.
    fn read_list(&mut self, index: usize) {
        let (now, at) = (self.now, self.instant());
        if self.copies.len() <= now.as_secs() as usize {
            self.copies.push(self.listed.clone());
        }
        let gateway = &mut self.gateways[index];
        if now < gateway.detached_until {
            return;
        }
        if gateway.registered && gateway.era != self.era {
            gateway.registered = false;
            gateway.membership.record_loss();
            (gateway.next_list, gateway.list_interval) = (now, Duration::from_secs(1));
        }
        let is_read = now >= gateway.next_list;
        (self.hooks.save)(gateway, &mut self.saved, is_read, at);
        if !is_read {
            return;
        }
        if !gateway.registered {
            register(gateway, &mut self.listed, self.era, at);
        }
        for (name, entry) in self.listed.iter().filter(|(name, _)| **name != gateway.name) {
            gateway.peers.add_listed(name.clone(), entry.address, at);
        }
        let others = self.listed.keys().filter(|name| **name != gateway.name);
        gateway.membership.record_list(others.cloned(), at);
        if gateway.membership.is_known(at)
            && let Some(entry) = self.listed.get_mut(&gateway.name)
        {
            (entry.known_in, entry.is_replacement) = (Some(self.era), false);
        }
        gateway.next_list = now + gateway.list_interval;
        gateway.list_interval = (gateway.list_interval * 2).min(Duration::from_secs(20));
    }

    /// Asks the gateways that were listed before this one for a message, in a large fleet.
    fn introduce(&mut self, index: usize) {
        let (now, at) = (self.now, self.instant());
        let sender = &mut self.gateways[index];
        if now < sender.next_introduction || now < sender.isolated_until {
            return;
        }
        sender.next_introduction = now + INTRODUCTION_INTERVAL;
        if !sender.peers.is_partial_mesh() {
            return;
        }
        let awaited: Vec<_> = sender.membership.awaited().map(str::to_owned).collect();
        let (mut message, from) = (messages::empty(&sender.name), sender.address);
        message.is_introduction = true;
        for node in awaited {
            let Some(address) = self.gateways[index].peers.address_of(&node) else { continue };
            let other = &mut self.gateways[addresses::index_of(address)];
            if !other.runs(now) || now < other.isolated_until {
                continue;
            }
            other.membership.record_message(&message.node, at);
            let reply = other.peers.handle_message(message.clone(), from, at);
            assert_eq!(reply, peers::Reply::Introduction);
            self.gateways[index].membership.record_message(&node, at);
        }
    }

    /// Sends the neighbours of a gateway a message at its intervals.
    fn send_messages(&mut self, index: usize) {
        let (now, at) = (self.now, self.instant());
        let sender = &mut self.gateways[index];
        if now < sender.next_message {
            return;
        }
        sender.peers.remove_expired(at);
        let addresses = sender.peers.neighbours(&sender.name, at);
        sender.next_message = now + gossip_timing::load_interval(addresses.len());
        self.send(index, addresses);
    }

    /// Sends a message of a gateway to some others at once, as a gateway does that has news.
    pub fn send_news(&mut self, index: usize, draw: u32) {
        let addresses = self.gateways[index].peers.news_recipients(draw);
        self.send(index, addresses);
    }

    fn send(&mut self, index: usize, addresses: impl IntoIterator<Item = net::SocketAddr>) {
        let (now, at) = (self.now, self.instant());
        let sender = &mut self.gateways[index];
        if now < sender.isolated_until {
            return;
        }
        let (mut message, from) = (messages::empty(&sender.name), sender.address);
        (self.hooks.tell)(&mut sender.load, &mut message, at);
        for address in addresses {
            let receiver = &mut self.gateways[addresses::index_of(address)];
            if receiver.runs(now) && now >= receiver.isolated_until {
                receiver.membership.record_message(&message.node, at);
                receiver.peers.handle_message(message.clone(), from, at);
                (self.hooks.receive)(&mut receiver.load, &message, at);
            }
        }
    }
}

/// Writes a gateway into the list as the gateway does.
fn register<T>(gateway: &mut Gateway<T>, listed: &mut List, era: u64, at: time::Instant) {
    let mut entry = Entry { address: gateway.address, known_in: None, is_replacement: false };
    if let Some(earlier) = listed.get(&gateway.name) {
        entry.is_replacement = earlier.is_replacement || earlier.address != entry.address;
        entry.known_in = earlier.known_in.filter(|_| !entry.is_replacement);
    }
    let Entry { known_in, is_replacement, .. } = entry;
    let precedent = membership::Precedent::of_entry(is_replacement, known_in, era);
    listed.insert(gateway.name.clone(), entry);
    (gateway.registered, gateway.era) = (true, era);
    gateway.membership.record_registration_after(precedent, at);
}
