//! Test support for the control services: processes that can be paused, and sample data.

#![allow(dead_code)]

use std::cell;
use std::future;
use std::pin;
use std::rc;
use std::time;

use azuregap_control::clock;
use azuregap_control::configuration;
use azuregap_control::process;
use azuregap_control::usage;
use azuregap_core::intent;
use azuregap_platform::table as calls;
use azuregap_platform::vms;
use azuregap_standins::platform;
use azuregap_wire::control;
use azuregap_wire::frame;
use tokio::time::Instant;

/// Time limit for calls to the simulated platform services.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Pauses the execution of a process for a time.
#[derive(Clone, Debug)]
pub(crate) struct Freezer {
    until: rc::Rc<cell::Cell<Instant>>,
}

impl Freezer {
    pub(crate) fn new() -> Self {
        Self { until: rc::Rc::new(cell::Cell::new(Instant::now())) }
    }

    pub(crate) fn freeze(&self, duration: time::Duration) {
        self.until.set(Instant::now() + duration);
    }

    pub(crate) fn is_frozen(&self) -> bool {
        Instant::now() < self.until.get()
    }

    /// Runs `process`, which is not polled while it is frozen.
    pub(crate) async fn run(&self, process: impl Future<Output = ()>) {
        let mut process = pin::pin!(process);
        let mut resume = pin::pin!(tokio::time::sleep_until(self.until.get()));
        future::poll_fn(|context| {
            let until = self.until.get();
            if Instant::now() < until {
                resume.as_mut().reset(until);
                if resume.as_mut().poll(context).is_pending() {
                    return std::task::Poll::Pending;
                }
            }
            process.as_mut().poll(context)
        })
        .await;
    }
}

/// Returns a clock that reads the same time at the start of every test.
pub(crate) fn clock() -> clock::WallClock {
    clock::WallClock::new(Instant::now(), time::Duration::from_secs(1_000_000))
}

pub(crate) fn windows(length: time::Duration) -> usage::Windows {
    usage::Windows::new(clock(), length)
}

pub(crate) fn entry(node: &str, incarnation: u64) -> process::Process {
    let mut process = process::Process::new(node, "north", node, control::Role::Entry);
    process.peer.incarnation = incarnation;
    process
}

pub(crate) fn agent(node: &str, incarnation: u64) -> process::Process {
    let role = control::Role::Agent {
        backend: format!("{node}-server"),
        pool: "advisor".to_owned(),
        run_address: format!("{node}-runs"),
    };
    let mut process = process::Process::new(node, "north", node, role);
    process.peer.incarnation = incarnation;
    process
}

/// Returns an intent with one pool of exactly `replicas` replicas, in one zone whose budget pays
/// for `spend` of them.
pub(crate) fn intent(replicas: u32, spend: u64) -> intent::Intent {
    let pool = intent::Pool {
        name: "advisor".to_owned(),
        kind: intent::PoolKind::Model,
        slots: 8,
        throughput: 1_000,
        min_replicas: replicas,
        max_replicas: replicas,
    };
    let zone = intent::Zone {
        name: "north".to_owned(),
        region: "perth-metro".to_owned(),
        spend,
        price: 1,
    };
    let team = |name: &str| intent::Team {
        name: name.to_owned(),
        weight: 1,
        rate: None,
        concurrency: None,
    };
    intent::Intent {
        pools: vec![pool],
        zones: vec![zone],
        teams: vec![team("acme"), team("bolt")],
        ..intent::Intent::default()
    }
}

/// Stores `intent` in the table as version 1.
pub(crate) fn seed(platform: &platform::Platform, intent: &intent::Intent) {
    let row = configuration::ConfigurationRow {
        version: 1,
        by: "seed".to_owned(),
        text: serde_json::to_string(intent).unwrap(),
        declared: configuration::Declared::default(),
    };
    put(platform, &row);
}

/// Writes the configuration row directly, without fault injection.
pub(crate) fn put(platform: &platform::Platform, row: &configuration::ConfigurationRow) {
    let put =
        calls::Transaction::new().put(configuration::CURRENT, serde_json::to_value(row).unwrap());
    platform.table.with(|state| state.apply(calls::TableCall::Commit(put)));
}

/// Returns the stored configuration row.
pub(crate) fn current(platform: &platform::Platform) -> configuration::ConfigurationRow {
    let read = calls::TableCall::Read { key: configuration::CURRENT.to_owned() };
    let calls::TableReply::Rows(rows) = platform.table.with(|state| state.apply(read)) else {
        panic!("expected rows in the reply to a read");
    };
    serde_json::from_value(rows[0].value.clone()).unwrap()
}

/// Adds running backend servers to the VM list, each `boot` after its start.
pub(crate) async fn boot(platform: &platform::Platform, boot: time::Duration) {
    let mut known: Vec<(String, Instant)> = Vec::new();
    loop {
        let running = platform.orders.with(|state| state.running().clone());
        known.retain(|(name, _)| running.contains_key(name));
        for name in running.keys() {
            if !known.iter().any(|(known, _)| known == name) {
                known.push((name.clone(), Instant::now()));
            }
        }
        let up = known.iter().filter(|(_, since)| since.elapsed() >= boot);
        let vms = up.map(|(name, _)| vm(name, &running[name].zone, &running[name].pool)).collect();
        platform.vms.with(|state| state.set(vms::VmList { vms }));
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
}

fn vm(name: &str, zone: &str, pool: &str) -> vms::Vm {
    vms::Vm {
        name: name.to_owned(),
        zone: zone.to_owned(),
        kind: vms::VmKind::Backend { pool: pool.to_owned() },
        control: name.to_owned(),
        leaving: false,
    }
}

pub(crate) fn record(
    id: u128,
    agent: &process::Process,
    window: u64,
    team: &str,
    output: u64,
) -> control::UsageRecord {
    control::UsageRecord {
        id,
        agent: agent.peer.node.clone(),
        incarnation: agent.peer.incarnation,
        window,
        team: team.to_owned(),
        route: "chat".to_owned(),
        usage: frame::Usage { requests: 1, prompt: 10, output },
    }
}
