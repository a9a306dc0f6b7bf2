//! Spend against service of the planner, of full-size deployment and of a utilisation threshold.

use std::time;

use azuregap_core::intent;
use azuregap_policy::plan;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use tokio::time::Instant;

const STEP: time::Duration = time::Duration::from_secs(10);
const DAY: u64 = 24 * 3_600;
const BOOT: u64 = 120;
const PRICES: [(&str, u64); 3] = [("north", 1_000_000), ("east", 1_200_000), ("south", 1_300_000)];
const POOLS: [&str; 2] = ["advisor", "talk"];
const THROUGHPUT: f64 = 1_000.0;

/// Spend of each zone per hour, for five servers.
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

/// Tokens per second of both pools at each step: a day's curve with bursts of one class.
fn load(seed: u64) -> Vec<[f64; 2]> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let bursts: Vec<(u64, u64, usize, f64)> = (0..8)
        .map(|_| {
            let start = rng.random_range(0..DAY);
            let length = rng.random_range(600..3_600);
            (start, start + length, rng.random_range(0..2), rng.random_range(1_500.0..5_000.0))
        })
        .collect();
    let at = |second: u64| {
        let phase = second as f64 / DAY as f64 * std::f64::consts::TAU;
        let base = 1_500.0 - 1_200.0 * phase.cos();
        let mut rates = [base * rng.random_range(0.8..1.2), base * rng.random_range(0.6..1.0)];
        for (start, end, pool, extra) in &bursts {
            if (*start..*end).contains(&second) {
                rates[*pool] += extra;
            }
        }
        rates
    };
    (0..DAY).step_by(STEP.as_secs() as usize).map(at).collect()
}

/// A server and when it can serve.
type Server = (plan::Backend, u64);

/// What one way of placing does at one step.
type Place<'a> = dyn FnMut(u64, [f64; 2], &mut Vec<Server>) + 'a;

#[derive(Debug, Default)]
struct Outcome {
    cost: f64,
    wanted: [f64; 2],
    served: [f64; 2],
    /// Share of the steps at which all of a class is served.
    attained: [f64; 2],
    changes: usize,
    over: usize,
}

fn run(loads: &[Vec<[f64; 2]>], place: impl Fn() -> Box<Place<'static>>) -> Outcome {
    let mut outcome = Outcome::default();
    for load in loads {
        let (mut place, mut servers) = (place(), Vec::new());
        for (step, rates) in load.iter().enumerate() {
            let second = step as u64 * STEP.as_secs();
            let before = servers.clone();
            place(second, *rates, &mut servers);
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
        outcome.wanted[i] += rates[i];
        outcome.served[i] += rates[i].min(capacity);
        outcome.attained[i] += f64::from(u8::from(capacity >= rates[i]));
    }
}

fn server(name: String, pool: &str, zone: &str, second: u64) -> Server {
    let (pool, zone) = (pool.to_owned(), zone.to_owned());
    let state = plan::BackendState::Running;
    (plan::Backend { name, pool, zone, state }, second + BOOT)
}

/// Takes what the planner says is ready.
fn planner() -> Box<Place<'static>> {
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
        let there: Vec<_> = servers
            .iter()
            .map(|(server, up)| plan::Backend { state: state(*up), ..server.clone() })
            .collect();
        let plan = plan::plan(&plan::Inputs::new(&intent).backends(&there).demand(&demand));
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

/// As many as the spend allows, half for each pool, all the time.
fn full_size() -> Box<Place<'static>> {
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

/// One more above 80 % and one less below 40 % of what is up, each 30 s, whatever is ordered.
fn threshold() -> Box<Place<'static>> {
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
    let served = share(outcome.served, outcome.wanted);
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
async fn the_planner_stays_within_the_spend_and_costs_less_than_full_size() -> Result<()> {
    let loads: Vec<_> = (0..10).map(load).collect();
    let planned = run(&loads, planner);
    let full = run(&loads, full_size);
    let naive = run(&loads, threshold);
    print("planner", &planned);
    print("full size", &full);
    print("threshold", &naive);
    verify_that!(planned.over, eq(0))?;
    verify_that!(planned.cost, lt(full.cost))?;
    let (ours, theirs) = (share(planned.served, planned.wanted), share(naive.served, naive.wanted));
    verify_that!(ours[0], ge(theirs[0]))
}
