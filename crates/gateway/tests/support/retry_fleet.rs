//! A fleet of simulated gateways that retry requests of one service, without sockets.
//!
//! The decisions are those of the gateway; the callers and the backend servers are simulated, and
//! the network and the store as in [`network`].

use std::time::Duration;

use azuregap_gateway::decision::retry_budget;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time;

use super::network;
pub use super::network::Event;
use super::network::STEP;

/// Length of the budget's window.
pub const WINDOW: Duration = Duration::from_secs(10);

/// Retries allowed for each request.
const RATIO: f64 = 0.2;

/// Sends of one request at most.
const MAX_SENDS: u32 = 3;

/// Time from a retry until its outcome is known, at most.
const MAX_RESPONSE_MS: u64 = 1_500;

const SERVICE: &str = "s";

/// A request that was sent again, until its outcome is known.
struct Retry {
    grant: retry_budget::Grant,
    arrives_at: Duration,
    ends_at: Duration,
    sends: u32,
}

/// The retries of a gateway.
struct Retries {
    budget: retry_budget::RetryBudget,
    pending: Vec<Retry>,
}

type Gateway = network::Gateway<Retries>;

/// The fleet, its callers and its backend servers.
pub struct Fleet {
    network: network::Network<Retries, ()>,
    slack: f64,
    rng: ChaCha8Rng,
    failure_share: f64,
    /// When callers sent their requests.
    requests: Vec<Duration>,
    /// When sends beyond the first of their request arrived.
    repeats: Vec<Duration>,
}

/// Takes a retry from the budget of a gateway.
fn try_acquire(gateway: &mut Gateway, now: time::Instant) -> Option<retry_budget::Grant> {
    let standing = gateway.membership.standing(WINDOW, now);
    let fleet = retry_budget::Fleet { gateways: gateway.peers.known_count() + 1, standing };
    gateway.load.budget.try_acquire(SERVICE, fleet, now)
}

impl Fleet {
    /// Starts a fleet; no caller sends requests yet.
    pub fn new(gateways: usize, slack: f64, seed: u64) -> Self {
        let limits = retry_budget::Limits { ratio: RATIO, slack, window: WINDOW };
        let hooks = network::Hooks {
            start: Box::new(move || Retries {
                budget: retry_budget::RetryBudget::new(limits),
                pending: Vec::new(),
            }),
            tell: |_, _, _| {},
            save: |_, _, _, _| {},
            receive: |_, _, _| {},
        };
        Self {
            network: network::Network::new(gateways, hooks),
            slack,
            rng: ChaCha8Rng::seed_from_u64(seed),
            failure_share: 0.0,
            requests: Vec::new(),
            repeats: Vec::new(),
        }
    }

    /// Plays events, each at its time, until the end.
    pub fn play(&mut self, events: &[(Duration, Event)], end: Duration) {
        let mut events = events.iter().peekable();
        while self.network.now < end {
            while let Some((_, event)) = events.next_if(|(at, _)| *at <= self.network.now) {
                self.network.apply(event);
                if let Event::Failures(share) = event {
                    self.failure_share = *share;
                }
            }
            self.step();
        }
    }

    fn step(&mut self) {
        for index in 0..self.network.gateways.len() {
            if self.network.gateways[index].runs(self.network.now) {
                self.network.run_gateway(index);
                self.end_retries(index);
            }
            self.send_requests(index);
        }
        self.network.now += STEP;
    }

    /// Ends the retries whose outcome is known by now; some fail, and are sent once more.
    fn end_retries(&mut self, index: usize) {
        let (now, at) = (self.network.now, self.network.instant());
        let retries = std::mem::take(&mut self.network.gateways[index].load.pending);
        for retry in retries {
            let is_arrival = retry.arrives_at <= now && retry.arrives_at > Duration::ZERO;
            if is_arrival {
                self.repeats.push(now);
            }
            let arrives_at = if is_arrival { Duration::ZERO } else { retry.arrives_at };
            let load = &mut self.network.gateways[index].load;
            if retry.ends_at > now {
                load.pending.push(Retry { arrives_at, ..retry });
            } else {
                load.budget.release(retry.grant, at);
                self.fail_or_serve(index, retry.sends);
            }
        }
    }

    fn send_requests(&mut self, index: usize) {
        let (now, at) = (self.network.now, self.network.instant());
        for _ in 0..self.network.gateways[index].take_requests() {
            self.requests.push(now);
            let gateway = &mut self.network.gateways[index];
            if gateway.runs(now) {
                gateway.load.budget.record_request(SERVICE, at);
                self.fail_or_serve(index, 1);
            }
        }
    }

    /// The outcome of a send: if it failed, the request is sent again as far as the budget allows.
    fn fail_or_serve(&mut self, index: usize, sends: u32) {
        let (now, at) = (self.network.now, self.network.instant());
        let fails = self.rng.random::<f64>() < self.failure_share;
        let gateway = &mut self.network.gateways[index];
        if !fails || sends >= MAX_SENDS {
            return;
        }
        let Some(grant) = try_acquire(gateway, at) else { return };
        let arrives_at = now + STEP;
        let ends_at = arrives_at + Duration::from_millis(self.rng.random_range(0..MAX_RESPONSE_MS));
        gateway.load.pending.push(Retry { grant, arrives_at, ends_at, sends: sends + 1 });
    }

    /// The window in which the most retries exceed what is allowed: its end, the retries in it and
    /// the retries allowed.
    pub fn worst_window(&self) -> (Duration, usize, f64) {
        let within = |times: &[Duration], end: Duration| {
            let count_until = |at| times.partition_point(|time| *time <= at);
            count_until(end) - end.checked_sub(WINDOW).map_or(0, count_until)
        };
        let window_at = |end: &Duration| {
            let offsets = [Duration::ZERO, WINDOW / 2, WINDOW];
            let ends = offsets.iter().filter_map(|offset| end.checked_sub(*offset));
            let requests = ends.map(|end| within(&self.requests, end)).max().unwrap_or(0);
            let allowed = RATIO * requests as f64 + self.slack;
            (*end, within(&self.repeats, *end), allowed)
        };
        let excess = |window: &(Duration, usize, f64)| window.1 as f64 - window.2;
        let windows = self.repeats.iter().map(window_at);
        windows.max_by(|a, b| excess(a).total_cmp(&excess(b))).unwrap_or_default()
    }

    /// Number of retries that arrived.
    pub fn repeat_count(&self) -> usize {
        self.repeats.len()
    }
}
