//! The bounds over both deployments in virtual time, and the measures as snapshots.

use std::collections;

use azuregap_bench::bounds;
use azuregap_bench::deployment;
use azuregap_bench::measure;
use azuregap_bench::scenario;
use azuregap_bench::system;
use googletest::prelude::*;

/// Seed of the runs; `./x bench` checks more.
const SEED: u64 = 1;

fn hold(deployment: &deployment::Deployment, scenarios: &[scenario::Scenario]) {
    let run = |scenario: &_| scenario::run(deployment, *scenario, system::System::OURS, SEED);
    let measures: Vec<measure::Measure> = scenarios.iter().map(run).collect();
    for check in bounds::check(&measures) {
        verify_that!(check.holds(), eq(true))
            .with_failure_message(|| format!("{check:?}"))
            .and_log_failure();
    }
}

const LOAD: [scenario::Scenario; 3] =
    [scenario::Scenario::Normal, scenario::Scenario::Capacity, scenario::Scenario::Overload];
const BURSTS: [scenario::Scenario; 2] =
    [scenario::Scenario::LowerBurst, scenario::Scenario::TopBurst];
const FAULTS: [scenario::Scenario; 2] = [scenario::Scenario::Straggler, scenario::Scenario::Crash];

#[gtest]
fn swan_coastal_holds_its_bounds_under_load() {
    hold(&deployment::swan_coastal(), &LOAD);
}

#[gtest]
fn swan_coastal_holds_its_bounds_in_bursts() {
    hold(&deployment::swan_coastal(), &BURSTS);
}

#[gtest]
fn swan_coastal_holds_its_bounds_under_faults() {
    hold(&deployment::swan_coastal(), &FAULTS);
}

#[gtest]
fn academy_holds_its_bounds_under_load() {
    hold(&deployment::academy(), &LOAD);
}

#[gtest]
fn academy_holds_its_bounds_in_bursts() {
    hold(&deployment::academy(), &BURSTS);
}

#[gtest]
fn academy_holds_its_bounds_under_faults() {
    hold(&deployment::academy(), &FAULTS);
}

/// Shares in 100 by class, rounded so that the snapshot is readable.
fn summary(seen: &measure::Measure) -> collections::BTreeMap<String, [f64; 3]> {
    let shares = |class: &measure::ClassMeasure| {
        [class.attained, class.refused, class.failed].map(|share| (share * 100.0).round())
    };
    seen.classes.iter().map(|class| (class.name.clone(), shares(class))).collect()
}

#[gtest]
fn the_same_seed_gives_the_same_measures() {
    let swan = deployment::swan_coastal();
    let run = || scenario::run(&swan, scenario::Scenario::TopBurst, system::System::OURS, SEED);
    let seen = run();
    verify_that!(run(), eq(&seen)).and_log_failure();
    insta::assert_json_snapshot!(summary(&seen));
}

#[gtest]
fn fair_shares_give_no_team_more_than_it_asks() {
    let shares = measure::fair_shares(&[10.0, 100.0, 30.0, 100.0], 140.0);
    verify_that!(shares, eq(&vec![10.0, 50.0, 30.0, 50.0])).and_log_failure();
}
