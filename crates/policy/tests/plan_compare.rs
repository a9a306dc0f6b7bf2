//! Cost and served demand of the planner, compared with a fixed full-size deployment and with
//! threshold-based autoscaling.

use std::time;

use azuregap_core::intent;
use azuregap_policy::plan;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use tokio::time::Instant;

/// Simulation step.
const STEP: time::Duration = time::Duration::from_secs(10);
/// Simulated time, in seconds.
const DAY_S: u64 = 24 * 3_600;
/// Time from the start of a server until it serves, in seconds.
const BOOT_S: u64 = 120;
/// Price of a server per hour in each zone, in millionths of the currency unit.
const PRICES: [(&str, u64); 3] = [("north", 1_000_000), ("east", 1_200_000), ("south", 1_300_000)];
const POOLS: [&str; 2] = ["advisor", "talk"];
/// Tokens per second of one server.
const THROUGHPUT: f64 = 1_000.0;

/// An intent whose spending limit allows five servers in each zone.
fn intent() -> intent::Intent {
    let zone = |(name, price): (&str, u64)| intent::Zone {
        name: name.to_owned(),
        region: "perth-metro".to_owned(),
        spend: price * 5,
        price,
    };
    let pool = |name: &str| intent::Pool {
        name: name.to_owned(),
        kind: intent::PoolKind::Model,
        slots: 8,
        throughput: THROUGHPUT as u32,
        min_replicas: 1,
        max_replicas: 9,
    };
    let class = |name: &str, tier: u8| intent::Class {
        name: name.to_owned(),
        tier,
        first_token: time::Duration::from_secs(1),
        token_gap: time::Duration::from_millis(100),
        floor_percent: 5,
        deadline: time::Duration::from_secs(60),
    };
    let route = |pool: &str, class: &str| intent::Route {
        name: pool.to_owned(),
        prefix: format!("/{pool}"),
        methods: Vec::new(),
        pool: pool.to_owned(),
        class: class.to_owned(),
        open: false,
        idempotent: true,
        require_key: false,
        max_body: 1 << 20,
    };
    intent::Intent {
        classes: vec![class("summary", 0), class("chat", 1)],
        pools: POOLS.map(pool).to_vec(),
        routes: vec![route("advisor", "summary"), route("talk", "chat")],
        zones: PRICES.map(zone).to_vec(),
        ..intent::Intent::default()
    }
}

/// Tokens per second of both pools at each step: a daily curve with noise and random bursts.
fn load_curve(seed: u64) -> Vec<[f64; 2]> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let bursts: Vec<(u64, u64, usize, f64)> = (0..8)
        .map(|_| {
            let start = rng.random_range(0..DAY_S);
            let length = rng.random_range(600..3_600);
            (start, start + length, rng.random_range(0..2), rng.random_range(1_500.0..5_000.0))
        })
        .collect();
    let at = |second: u64| {
        let phase = second as f64 / DAY_S as f64 * std::f64::consts::TAU;
        let base = 1_500.0 - 1_200.0 * phase.cos();
        let mut rates = [base * rng.random_range(0.8..1.2), base * rng.random_range(0.6..1.0)];
        for (start, end, pool, extra) in &bursts {
            if (*start..*end).contains(&second) {
                rates[*pool] += extra;
            }
        }
        rates
    };
    (0..DAY_S).step_by(STEP.as_secs() as usize).map(at).collect()
}

/// A server and the second from which it serves.
type Server = (plan::Backend, u64);

/// A placement strategy: updates the servers, given the second and the rate of each pool.
type Strategy<'a> = dyn FnMut(u64, [f64; 2], &mut Vec<Server>) + 'a;

#[derive(Debug, Default)]
struct Outcome {
    cost: f64,
    demand: [f64; 2],
    served: [f64; 2],
    /// Share of the steps at which a class is served in full.
    attained: [f64; 2],
    changes: usize,
    /// Zone steps over the spending limit.
    over: usize,
}

fn simulate(loads: &[Vec<[f64; 2]>], strategy: impl Fn() -> Box<Strategy<'static>>) -> Outcome {
    let mut outcome = Outcome::default();
    for load in loads {
        let (mut update, mut servers) = (strategy(), Vec::new());
        for (step, rates) in load.iter().enumerate() {
            let second = step as u64 * STEP.as_secs();
            let before = servers.clone();
            update(second, *rates, &mut servers);
            outcome.changes += before.iter().filter(|old| !servers.contains(old)).count();
            outcome.changes += servers.iter().filter(|new| !before.contains(new)).count();
            measure(&mut outcome, second, *rates, &servers);
        }
    }
    let steps: usize = loads.iter().map(Vec::len).sum();
    outcome.attained = outcome.attained.map(|attained| attained / steps as f64);
    outcome.cost /= loads.len() as f64;
    outcome
}

fn measure(outcome: &mut Outcome, second: u64, rates: [f64; 2], servers: &[Server]) {
    for (zone, price) in PRICES {
        let count = servers.iter().filter(|(server, _)| server.zone == zone).count();
        outcome.cost += count as f64 * price as f64 / 1e6 * STEP.as_secs_f64() / 3_600.0;
        outcome.over += usize::from(count > 5);
    }
    for (i, pool) in POOLS.iter().enumerate() {
        let up = servers.iter().filter(|(server, up)| server.pool == *pool && *up <= second);
        let capacity = up.count() as f64 * THROUGHPUT;
        outcome.demand[i] += rates[i];
        outcome.served[i] += rates[i].min(capacity);
        outcome.attained[i] += f64::from(u8::from(capacity >= rates[i]));
    }
}

fn server(name: String, pool: &str, zone: &str, second: u64) -> Server {
    let (pool, zone) = (pool.to_owned(), zone.to_owned());
    let state = plan::BackendState::Running;
    (plan::Backend { name, pool, zone, state }, second + BOOT_S)
}

/// Carries out the ready steps of the planner.
fn planner() -> Box<Strategy<'static>> {
    let (intent, start) = (intent(), Instant::now());
    let mut estimates = [plan::DemandEstimate::new(0.0, start); 2];
    Box::new(move |second, rates, servers| {
        let now = start + time::Duration::from_secs(second);
        for (estimate, rate) in estimates.iter_mut().zip(rates) {
            estimate.observe(rate, now);
        }
        let classes = ["summary", "chat"];
        let demand: Vec<_> = (0..2)
            .map(|i| plan::Demand {
                pool: POOLS[i].to_owned(),
                class: classes[i].to_owned(),
                rate: estimates[i].rate(),
            })
            .collect();
        let state = |up: u64| match up > second {
            true => plan::BackendState::Pending,
            false => plan::BackendState::Running,
        };
        let existing: Vec<_> = servers
            .iter()
            .map(|(server, up)| plan::Backend { state: state(*up), ..server.clone() })
            .collect();
        let plan = plan::plan(&plan::Inputs::new(&intent).backends(&existing).demand(&demand));
        for (i, step) in plan.steps.iter().filter(|step| step.ready).enumerate() {
            match step.action {
                plan::Action::Start | plan::Action::Move => {
                    let name = format!("{second}-{i}");
                    servers.push(server(name, &step.pool, &step.zone, second));
                }
                plan::Action::Stop => {
                    servers.retain(|(server, _)| Some(&server.name) != step.backend.as_ref());
                }
                plan::Action::Refuse => {}
            }
        }
    })
}

/// As many servers as the spending limits allow, half of them for each pool, all the time.
fn full_size() -> Box<Strategy<'static>> {
    Box::new(|second, _, servers| {
        if second > 0 {
            return;
        }
        for i in 0..15 {
            let zone = PRICES[i % 3].0;
            servers.push(server(i.to_string(), POOLS[i % 2], zone, 0));
        }
    })
}

/// Every 30 s adds a server to a pool above 80 % utilisation of its serving servers, and removes
/// one below 40 %, regardless of pending starts.
fn threshold() -> Box<Strategy<'static>> {
    Box::new(|second, rates, servers| {
        if second % 30 != 0 {
            return;
        }
        for (i, pool) in POOLS.iter().enumerate() {
            let of = |server: &&Server| server.0.pool == *pool;
            let up = servers.iter().filter(of).filter(|(_, up)| *up <= second).count();
            let all = servers.iter().filter(of).count();
            let utilisation = rates[i] / (up as f64 * THROUGHPUT);
            if (up == 0 && all == 0) || (up > 0 && utilisation > 0.8 && all < 9) {
                let zone = PRICES[all % 3].0;
                servers.push(server(format!("{second}-{pool}"), pool, zone, second));
            } else if up > 1 && utilisation < 0.4 {
                let last = servers.iter().rposition(|server| of(&server));
                servers.remove(last.unwrap());
            }
        }
    })
}

fn share(part: [f64; 2], whole: [f64; 2]) -> [f64; 2] {
    [part[0] / whole[0], part[1] / whole[1]]
}

fn print(name: &str, outcome: &Outcome) {
    let served = share(outcome.served, outcome.demand);
    println!(
        "{name}: {:.1} a day, served {:.2} % and {:.2} %, attained {:.2} % and {:.2} %, {} \
         changes, {} zone steps over the spend",
        outcome.cost,
        served[0] * 100.0,
        served[1] * 100.0,
        outcome.attained[0] * 100.0,
        outcome.attained[1] * 100.0,
        outcome.changes,
        outcome.over,
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_planner_keeps_the_spending_limits_and_costs_less_than_full_size() -> Result<()> {
    let loads: Vec<_> = (0..10).map(load_curve).collect();
    let planned = simulate(&loads, planner);
    let full = simulate(&loads, full_size);
    let autoscaled = simulate(&loads, threshold);
    print("planner", &planned);
    print("full size", &full);
    print("threshold", &autoscaled);
    verify_that!(planned.over, eq(0))?;
    verify_that!(planned.cost, lt(full.cost))?;
    let (planned_share, autoscaled_share) =
        (share(planned.served, planned.demand), share(autoscaled.served, autoscaled.demand));
    verify_that!(planned_share[0], ge(autoscaled_share[0]))
}
