//! A fleet of simulated gateways that send requests to one backend server that turns cold, without
//! sockets.
//!
//! The decisions are those of the gateway; the callers and the backend server are simulated, and the
//! network and the store as in [`network`].

use std::time::Duration;

use azuregap_gateway::decision::cold_server;
use azuregap_gateway::decision::holder;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time;

use super::network;
pub use super::network::Event;
use super::network::STEP;

/// Hash of the backend server's id.
const BACKEND: u32 = 7;

/// How long the server stays cold.
pub const WARM_UP: Duration = Duration::from_secs(3);

/// Longest time until an entry reaches a gateway that isn't cut off from the store.
const MAX_LAG_MS: u64 = 900;

/// What a gateway knows of the server.
#[derive(Default)]
struct Load {
    servers: cold_server::ColdServers,
    /// Number of runs that it has read of.
    run: u64,
}

/// A request that arrived, and whether its gateway knew the newest run.
struct Arrival {
    at: Duration,
    is_aware: bool,
}

/// The fleet, its callers and the backend server.
pub struct Fleet {
    network: network::Network<Load, ()>,
    rng: ChaCha8Rng,
    allowance: cold_server::Allowance,
    /// Starts of the server's runs; each is cold.
    runs: Vec<Duration>,
    arrivals: Vec<Arrival>,
}

impl Fleet {
    /// Starts a fleet before a backend server whose runs start at `runs`.
    pub fn new(
        gateways: usize,
        allowance: cold_server::Allowance,
        runs: Vec<Duration>,
        seed: u64,
    ) -> Self {
        let hooks = network::Hooks {
            start: Box::new(Load::default),
            tell: |_, _, _| {},
            save: |_, (), _, _| {},
            receive: |_, _, _| {},
        };
        Self {
            network: network::Network::new(gateways, hooks),
            rng: ChaCha8Rng::seed_from_u64(seed),
            allowance,
            runs,
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
            for index in 0..self.network.gateways.len() {
                self.step(index);
            }
            self.network.now += STEP;
        }
    }

    fn step(&mut self, index: usize) {
        let (now, at) = (self.network.now, self.network.instant());
        if self.network.gateways[index].runs(now) {
            self.network.run_gateway(index);
        }
        let run = self.runs.iter().take_while(|start| **start <= now).count() as u64;
        let lag = Duration::from_millis(self.rng.random_range(0..MAX_LAG_MS));
        let allowance = self.allowance;
        let gateway = &mut self.network.gateways[index];
        let is_due = self.runs.get(run as usize - 1).is_some_and(|start| now >= *start + lag);
        let is_new = gateway.load.run != run && (is_due || gateway.load.run == 0);
        if is_new && gateway.serves(now) && gateway.is_connected(now) {
            // The entry says too late that the server is cold.
            let cold_left = Some(Duration::ZERO);
            let age = if gateway.load.run == 0 && run == 1 { now } else { Duration::ZERO };
            let entry = cold_server::Entry { started_ms: run, cold_left, age };
            gateway.load.servers.record_entry(BACKEND, &entry, at);
            gateway.load.run = run;
        }
        for _ in 0..gateway.take_requests() {
            if gateway.serves(now) && gateway.load.run > 0 {
                let pace = own_pace(gateway, allowance, at);
                if gateway.load.servers.try_send(BACKEND, WARM_UP, || pace, at) {
                    let is_aware = gateway.load.run == run;
                    self.arrivals.push(Arrival { at: now, is_aware });
                }
            }
        }
    }

    /// Most requests in a second while the server was cold, of gateways that knew it.
    pub fn worst_second(&self) -> usize {
        let aware: Vec<_> =
            self.arrivals.iter().filter(|arrival| arrival.is_aware).map(|a| a.at).collect();
        let is_cold = |at: Duration| {
            self.runs.iter().skip(1).any(|start| at >= *start && at < *start + WARM_UP)
        };
        let count = |end: Duration| {
            let first = aware.partition_point(|at| *at + cold_server::WINDOW <= end);
            let last = aware.partition_point(|at| *at <= end);
            let in_cold = aware[first..last].iter().filter(|at| is_cold(**at));
            in_cold.count()
        };
        aware.iter().filter(|at| is_cold(**at)).map(|at| count(*at)).max().unwrap_or_default()
    }

    /// Requests that arrived in the cold seconds of a run, of gateways that knew of it.
    pub fn aware_arrivals(&self, run: usize) -> usize {
        let start = self.runs[run];
        let is_cold = |a: &&Arrival| a.is_aware && a.at >= start && a.at < start + WARM_UP;
        self.arrivals.iter().filter(is_cold).count()
    }

    /// Requests that arrived in the cold seconds of the runs.
    pub fn cold_arrivals(&self, run: usize) -> usize {
        let start = self.runs[run];
        self.arrivals.iter().filter(|a| a.at >= start && a.at < start + WARM_UP).count()
    }
}

/// Requests per second that a gateway may send to the cold server.
fn own_pace(
    gateway: &network::Gateway<Load>,
    allowance: cold_server::Allowance,
    now: time::Instant,
) -> Option<f64> {
    let standing =
        gateway.membership.standing(cold_server::WINDOW + cold_server::PLACE_VALIDITY, now);
    let others = gateway.peers.names();
    let share = holder::share(BACKEND, allowance.holders, &gateway.name, others, standing)?;
    Some(share * allowance.pace)
}
