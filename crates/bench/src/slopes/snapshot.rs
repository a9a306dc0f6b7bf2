//! Slopes of the configuration: its text, the time to take it, and its state.

use std::hint;

use azuregap_control::configuration;
use azuregap_control::snapshot;
use azuregap_core::intent;
use azuregap_core::key;
use tokio::time;

use super::Slope;
use super::memory;

/// Teams of the measured configurations; each has one key.
const TEAMS: [usize; 3] = [10, 1000, 9200];

/// Models, each with a route for every tier.
const MODELS: usize = 25;

/// Tiers.
const TIERS: u8 = 4;

/// Availability zones.
const ZONES: usize = 24;

/// Snapshots held to measure the state of one.
const HELD: usize = 20;

/// Times that each step is measured.
const ROUNDS: usize = 11;

/// States of snapshots; hands out what was built so that no memory is used twice.
pub(super) fn states() -> (Vec<Slope>, Vec<Vec<snapshot::Snapshot>>) {
    TEAMS.into_iter().map(state).unzip()
}

/// Sizes and times of the configuration.
pub(super) fn slopes() -> Vec<Slope> {
    TEAMS.into_iter().flat_map(of).chain([digest()]).collect()
}

fn state(teams: usize) -> (Slope, Vec<snapshot::Snapshot>) {
    let declared = intent(teams);
    let text = serde_json::to_string(&declared).unwrap_or_default();
    let row = configuration::ConfigurationRow { version: 1, text, ..Default::default() };
    let before = memory::resident();
    let held: Vec<_> = (0..HELD).filter_map(|_| row.snapshot().ok()).collect();
    let value = memory::resident().saturating_sub(before) as f64 / HELD as f64;
    let name = "snapshot in force, by teams";
    (Slope { name, count: teams, value, unit: "bytes" }, held)
}

fn of(teams: usize) -> [Slope; 3] {
    let declared = intent(teams);
    let text = serde_json::to_string(&declared).unwrap_or_default();
    let row = configuration::ConfigurationRow { version: 1, text, ..Default::default() };
    let stored = serde_json::to_string(&row).unwrap_or_default();
    let indexed = median_micros(|| drop(hint::black_box(row.snapshot())));
    let read = median_micros(|| {
        let value: serde_json::Value = serde_json::from_str(&stored).unwrap_or_default();
        let read = serde_json::from_value::<configuration::ConfigurationRow>(value);
        let _ = hint::black_box(read);
    });
    let slope = |name, value, unit| Slope { name, count: teams, value, unit };
    [
        slope("configuration row as stored, by teams", stored.len() as f64, "bytes"),
        slope("reading the row without taking it, by teams", read, "us"),
        slope("parsing and indexing a snapshot, by teams", indexed, "us"),
    ]
}

fn digest() -> Slope {
    let grants = snapshot::Snapshot::new(1, intent(9200));
    let value = super::median(|| {
        let digest = key::Digest::of("key-of-team-4600");
        hint::black_box(grants.keys.get(&digest));
    });
    Slope { name: "digest and look-up of a key, by keys", count: 9200, value, unit: "ns" }
}

fn median_micros(mut step: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let start = time::Instant::now();
            step();
            start.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}

/// A configuration with `teams` teams and a key for each.
fn intent(teams: usize) -> intent::Intent {
    let class = |tier| intent::Class {
        name: format!("class-{tier}"),
        tier,
        first_token: std::time::Duration::from_millis(1100),
        token_gap: std::time::Duration::from_millis(27),
        floor_percent: 10,
        deadline: std::time::Duration::from_secs(60),
    };
    let zone = |i| intent::Zone {
        name: format!("zone-{i}"),
        region: format!("region-{}", i % 7),
        spend: 300_000_000,
        price: 1_000_000,
    };
    intent::Intent {
        classes: (0..TIERS).map(class).collect(),
        teams: (0..teams).map(declared).collect(),
        keys: (0..teams).map(grant).collect(),
        pools: (0..MODELS).map(pool).collect(),
        routes: (0..MODELS).flat_map(|i| (0..TIERS).map(move |tier| route(i, tier))).collect(),
        zones: (0..ZONES).map(zone).collect(),
        leaving: Vec::new(),
    }
}

fn declared(i: usize) -> intent::Team {
    intent::Team { name: super::team(i), weight: 1, rate: Some(100), concurrency: Some(100) }
}

fn grant(i: usize) -> intent::KeyGrant {
    let digest = key::Digest::of(format!("key-of-team-{i}"));
    intent::KeyGrant { digest, team: super::team(i), withdrawn: false }
}

fn pool(i: usize) -> intent::Pool {
    intent::Pool {
        name: format!("model-{i}"),
        kind: intent::PoolKind::Model,
        slots: 32,
        throughput: 3500,
        min_replicas: 10,
        max_replicas: 400,
    }
}

fn route(i: usize, tier: u8) -> intent::Route {
    intent::Route {
        name: format!("model-{i}-class-{tier}"),
        prefix: "/v1/chat/completions".to_owned(),
        methods: vec!["POST".to_owned()],
        pool: format!("model-{i}"),
        class: format!("class-{tier}"),
        open: false,
        idempotent: true,
        require_key: false,
        max_body: 1 << 20,
    }
}
