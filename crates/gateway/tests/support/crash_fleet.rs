//! A fleet of simulated gateways before the backend servers of one service, some of whose requests
//! crash each server that runs them, without sockets.
//!
//! The decisions are those of the gateway; the callers and the backend servers are simulated, and the
//! network and the store as in [`network`].

use std::cell;
use std::collections;
use std::rc;
use std::time::Duration;

use azuregap_gateway::decision::quarantine;
use azuregap_gateway::decision::quarantine::turn;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time;

use super::START_TIME;
use super::crash_load::CONTACT;
pub use super::crash_load::Kind;
pub use super::crash_load::Tally;
use super::network;
pub use super::network::Event;
use super::network::STEP;

/// Time until a backend server that has crashed is back.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Longest time until a request crashes its server, and until its gateway notices, in steps.
const MAX_CRASH_STEPS: u32 = 3;
const MAX_NOTICE_STEPS: u32 = 2;

/// What a gateway knows.
struct Load {
    quarantine: quarantine::Quarantine,
    /// Distinguishes one start of a process from all others.
    epoch: u32,
    /// Time of day.
    now: Duration,
    /// Since when it has been undisturbed.
    calm_since: Duration,
    has_news: bool,
    /// When each kind was last answered here.
    answered: collections::HashMap<usize, Duration>,
}

#[derive(Default)]
struct Saved(collections::BTreeMap<quarantine::SuspectId, quarantine::Suspect>);

struct Server {
    run: u64,
    up_at: Duration,
}

/// A request at a backend server.
struct Running {
    kind: usize,
    gateway: usize,
    epoch: u32,
    server: usize,
    sent_at: Duration,
    ends_at: Duration,
    tried: Vec<usize>,
    admission: quarantine::Admission,
    /// Whether its gateway has given it up; the server runs it to its end.
    is_withdrawn: bool,
}

/// A request whose server has ended, until its gateway notices.
struct Loss {
    request: Running,
    crash: quarantine::Crash,
    noticed_at: Duration,
}

/// The fleet, its callers and the backend servers.
pub struct Fleet {
    network: network::Network<Load, Saved>,
    rng: ChaCha8Rng,
    kinds: Vec<Kind>,
    servers: Vec<Server>,
    running: Vec<Running>,
    losses: Vec<Loss>,
    pub tallies: Vec<Tally>,
}

/// Loads and saves suspects as the gateway does.
fn save(gateway: &mut network::Gateway<Load>, saved: &mut Saved, is_read: bool, _: time::Instant) {
    let load = &mut gateway.load;
    if is_read {
        let rows: Vec<_> = saved.0.values().cloned().collect();
        load.has_news |= load.quarantine.merge(&rows, load.now);
    }
    for unsaved in load.quarantine.unsaved() {
        load.quarantine.mark_saved(&unsaved);
        saved.0.insert(unsaved.id, unsaved);
    }
}

impl Fleet {
    /// Starts a fleet before `servers` backend servers.
    pub fn new(gateways: usize, servers: usize, kinds: Vec<Kind>, seed: u64) -> Self {
        let epochs = rc::Rc::new(cell::Cell::new(0));
        let start = move || {
            epochs.set(epochs.get() + 1);
            Load {
                quarantine: quarantine::Quarantine::new(0.5),
                epoch: epochs.get(),
                now: START_TIME,
                calm_since: Duration::MAX,
                has_news: false,
                answered: collections::HashMap::new(),
            }
        };
        let hooks = network::Hooks {
            start: Box::new(start),
            tell: |load: &mut Load, message, _| {
                message.suspects = Some(load.quarantine.tell(load.now));
            },
            save,
            receive: |load, message, _| {
                load.has_news |= load.quarantine.merge(&message.told_suspects(), load.now);
            },
        };
        let server = |_| Server { run: 1, up_at: Duration::ZERO };
        Self {
            network: network::Network::new(gateways, hooks),
            rng: ChaCha8Rng::seed_from_u64(seed),
            tallies: vec![Tally::default(); kinds.len()],
            kinds,
            servers: (0..servers).map(server).collect(),
            running: Vec::new(),
            losses: Vec::new(),
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

    /// Ends a share of the backend servers at once.
    pub fn crash_servers(&mut self, share: f64) {
        for server in 0..(self.servers.len() as f64 * share).round() as usize {
            self.crash(server);
        }
    }

    fn step(&mut self) {
        let now = self.network.now;
        for index in 0..self.network.gateways.len() {
            let gateway = &mut self.network.gateways[index];
            if !gateway.runs(now) || !gateway.is_connected(now) {
                gateway.load.calm_since = Duration::MAX;
            } else if gateway.load.calm_since == Duration::MAX {
                gateway.load.calm_since = now;
            }
            if gateway.runs(now) {
                gateway.load.now = START_TIME + now;
                self.network.run_gateway(index);
            }
        }
        self.end_runs();
        self.notice_losses();
        self.take_requests();
        self.withdraw();
        for index in 0..self.network.gateways.len() {
            let gateway = &mut self.network.gateways[index];
            if gateway.runs(now) && std::mem::take(&mut gateway.load.has_news) {
                self.network.send_news(index, self.rng.random());
            }
        }
        self.network.now += STEP;
    }

    /// Whether the process that sent a request is still there.
    fn is_there(&self, request: &Running) -> bool {
        let gateway = &self.network.gateways[request.gateway];
        !gateway.is_removed && gateway.load.epoch == request.epoch
    }

    /// Ends the requests that are done: they are answered, or crash their servers.
    fn end_runs(&mut self) {
        let now = self.network.now;
        let running = std::mem::take(&mut self.running);
        let (ended, running): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|request| request.ends_at <= now);
        self.running = running;
        // A server drops a request whose connection is gone.
        self.running = std::mem::take(&mut self.running)
            .into_iter()
            .filter(|request| self.is_there(request))
            .collect();
        let (deadly, sound): (Vec<_>, Vec<_>) =
            ended.into_iter().partition(|request| self.kinds[request.kind].is_deadly);
        for request in sound {
            let load = &mut self.network.gateways[request.gateway].load;
            if load.epoch == request.epoch && !request.is_withdrawn {
                let suspects = self.kinds[request.kind].suspects(request.kind);
                let began_at = START_TIME + request.sent_at + STEP;
                load.has_news |= load.quarantine.record_answer(&suspects, began_at, load.now);
                load.answered.insert(request.kind, began_at);
                self.tallies[request.kind].answers += 1;
            }
        }
        for request in deadly {
            // An earlier one may have ended the server in this step.
            if self.is_there(&request) && self.servers[request.server].up_at <= now {
                self.tallies[request.kind].crashes.push(now);
                let server = request.server;
                self.running.push(request);
                self.crash(server);
            }
        }
    }

    fn crash(&mut self, server: usize) {
        let now = self.network.now;
        let run = self.servers[server].run;
        self.servers[server] = Server { run: run + 1, up_at: now + DOWN_TIME };
        for request in std::mem::take(&mut self.running) {
            if request.server != server {
                self.running.push(request);
                continue;
            }
            if request.is_withdrawn {
                continue;
            }
            let noticed_at = now + STEP * self.rng.random_range(0..=MAX_NOTICE_STEPS);
            let crash = quarantine::Crash {
                backend_hash: server as u32,
                started_ms: run,
                sent_at: START_TIME + request.sent_at,
                at: START_TIME + noticed_at,
            };
            self.losses.push(Loss { request, crash, noticed_at });
        }
    }

    /// Lets gateways notice that servers have ended, and send the requests to others.
    fn notice_losses(&mut self) {
        let now = self.network.now;
        for loss in std::mem::take(&mut self.losses) {
            let Loss { request, mut crash, noticed_at } = loss;
            if !self.is_there(&request) {
                continue;
            }
            let gateway = &mut self.network.gateways[request.gateway];
            if noticed_at > now || !gateway.runs(now) {
                self.losses.push(Loss { request, crash, noticed_at });
                continue;
            }
            crash.at = crash.at.max(START_TIME + now);
            let suspects = self.kinds[request.kind].suspects(request.kind);
            let load = &mut gateway.load;
            if let (Some(at), Some(id)) = (load.answered.get(&request.kind), suspects.last()) {
                load.quarantine.remember_answer(*id, *at);
            }
            load.has_news |= load.quarantine.record_crash(&suspects, crash);
            let may_retry = request.tried.len() < self.kinds[request.kind].attempts
                && load.quarantine.may_retry(&suspects);
            if may_retry {
                self.send(request.kind, request.gateway, request.tried);
            } else if request.tried.len() < 2 * self.kinds[request.kind].attempts {
                // The caller sends it again, mostly to another gateway.
                let gateway = self.rng.random_range(0..self.network.gateways.len());
                self.send(request.kind, gateway, request.tried);
            }
        }
    }

    fn take_requests(&mut self) {
        for kind in 0..self.kinds.len() {
            let mut expected = self.kinds[kind].rate * STEP.as_secs_f64();
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    let gateway = self.rng.random_range(0..self.network.gateways.len());
                    self.send(kind, gateway, Vec::new());
                }
                expected -= 1.0;
            }
        }
    }

    /// Sends a request to a backend server, if its gateway may.
    fn send(&mut self, kind: usize, index: usize, mut tried: Vec<usize>) {
        let (now, at) = (self.network.now, self.network.instant());
        let gateway = &mut self.network.gateways[index];
        let is_up = |server: &usize| self.servers[*server].up_at <= now;
        let up: Vec<_> = (0..self.servers.len()).filter(is_up).collect();
        if !gateway.serves(now) || up.is_empty() {
            return;
        }
        let (load, suspects) = (&mut gateway.load, self.kinds[kind].suspects(kind));
        let known = self.servers.len();
        let is_living = |server: &&Server| server.up_at <= now;
        let living = self.servers.iter().filter(is_living).count();
        if !load.quarantine.may_risk(&suspects, living, known) {
            self.tallies[kind].spared += 1;
            return;
        }
        let rejection = load.quarantine.find_rejection(&suspects, load.now);
        let mut admission = quarantine::Admission::Normal;
        if let Some(rejection) = rejection {
            let may_try = rejection.time_left.is_zero()
                && gateway.membership.has_joined(turn::TURN, at)
                && !gateway.peers.is_cut_off(at)
                && turn::is_turn(
                    &rejection.suspect,
                    &gateway.name,
                    gateway.peers.names(),
                    load.now,
                );
            if !may_try {
                self.tallies[kind].rejections += 1;
                return;
            }
            admission = load.quarantine.admit(&suspects, load.now).expect("a trial");
        }
        let server = up[self.rng.random_range(0..up.len())];
        tried.push(server);
        if now.checked_sub(CONTACT).is_some_and(|calm| load.calm_since <= calm) {
            self.tallies[kind].sends.push(now);
        }
        let steps = if self.kinds[kind].is_deadly {
            self.rng.random_range(1..=MAX_CRASH_STEPS)
        } else {
            self.rng.random_range(1..=self.kinds[kind].steps)
        };
        let (epoch, ends_at) = (load.epoch, now + STEP * steps);
        let (sent_at, gateway, is_withdrawn) = (now, index, false);
        let request = Running {
            kind,
            gateway,
            epoch,
            server,
            sent_at,
            ends_at,
            tried,
            admission,
            is_withdrawn,
        };
        self.running.push(request);
    }

    /// Gives up the requests that are known to crash their servers.
    fn withdraw(&mut self) {
        let now = self.network.now;
        for request in &mut self.running {
            let gateway = &mut self.network.gateways[request.gateway];
            let runs = gateway.runs(now);
            let load = &mut gateway.load;
            if request.is_withdrawn
                || request.admission == quarantine::Admission::Trial
                || !runs
                || load.epoch != request.epoch
            {
                continue;
            }
            let suspects = self.kinds[request.kind].suspects(request.kind);
            let rejection = load.quarantine.find_rejection(&suspects, load.now);
            let Some(rejection) = rejection.filter(|rejection| rejection.is_guilty) else {
                continue;
            };
            let crash = quarantine::Crash {
                backend_hash: request.server as u32,
                started_ms: self.servers[request.server].run,
                sent_at: START_TIME + request.sent_at,
                at: load.now,
            };
            load.quarantine.record_withdrawal(rejection.suspect, crash);
            request.is_withdrawn = true;
        }
    }
}
