//! Replica choice: affinity, lagging reports, stragglers, failures and replicas that leave.

use std::collections;
use std::time::Duration;

use azuregap_core::code;
use azuregap_policy::balancer;
use azuregap_policy::balancer::subset;
use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use tokio::time;

fn replicas(count: usize) -> Vec<balancer::Replica> {
    let zones = ["perth-north", "perth-east", "perth-south"];
    let names = (0..count).map(|i| format!("agent-{i}"));
    names.enumerate().map(|(i, name)| balancer::Replica::new(name, zones[i % 3], 8)).collect()
}

fn chooser(count: usize) -> balancer::Balancer {
    let mut chooser = balancer::Balancer::new("perth-north");
    chooser.set_replicas(replicas(count));
    chooser
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(17)
}

fn load(running: u32) -> balancer::Load {
    balancer::Load { running, waiting: 0, slots: 8, backlog: 0 }
}

fn reasons(choices: &[balancer::Selection]) -> collections::BTreeMap<String, usize> {
    let mut counts = collections::BTreeMap::new();
    for choice in choices {
        *counts.entry(format!("{} {:?}", choice.node, choice.reason)).or_insert(0) += 1;
    }
    counts
}

/// Lets a request to each replica run at `pace` for each token.
fn serve(chooser: &mut balancer::Balancer, now: time::Instant, pace: impl Fn(usize) -> Duration) {
    for (i, replica) in replicas(9).iter().enumerate() {
        let progress = balancer::Observation::Progress { tokens: 10, elapsed: pace(i) * 10 };
        chooser.observe(&replica.node, progress, now);
    }
}

#[gtest]
fn a_prefix_keeps_to_its_replica_until_that_is_fuller() {
    let (mut chooser, mut rng, now) = (chooser(9), rng(), time::Instant::now());
    let prefix = balancer::prefix::hash("advisor", b"the tariff notes");
    let request = balancer::Request::new().prefix(prefix);
    let choices: Vec<_> =
        (0..24).map(|_| chooser.select(now, &request, &mut rng).unwrap()).collect();
    insta::assert_json_snapshot!(reasons(&choices));
}

#[gtest]
fn entries_with_the_same_old_report_do_not_choose_the_same_replica() {
    let now = time::Instant::now();
    let mut counts = collections::BTreeMap::new();
    for entry in 0..3 {
        let mut rng = ChaCha8Rng::seed_from_u64(entry);
        let mut chooser = chooser(9);
        for (i, replica) in replicas(9).iter().enumerate() {
            chooser.report(&replica.node, load(if i == 4 { 0 } else { 3 }), now);
        }
        for _ in 0..30 {
            let choice = chooser.select(now, &balancer::Request::new(), &mut rng).unwrap();
            *counts.entry(choice.node).or_insert(0) += 1;
        }
    }
    let most = counts.values().max().copied().unwrap_or_default();
    verify_that!(most, le(20)).and_log_failure();
    insta::assert_json_snapshot!(counts);
}

#[gtest]
fn a_straggler_is_left_out_probed_and_taken_back() {
    let (mut chooser, mut rng, mut now) = (chooser(9), rng(), time::Instant::now());
    let slow = |i| Duration::from_millis(if i == 2 { 200 } else { 20 });
    for _ in 0..3 {
        serve(&mut chooser, now, slow);
    }
    let request = balancer::Request::new();
    let to_slow = (0..100)
        .filter(|_| chooser.select(now, &request, &mut rng).unwrap().node == "agent-2")
        .count();
    verify_that!(to_slow, eq(0)).and_log_failure();
    verify_that!(chooser.ejected().collect::<Vec<_>>(), eq(&vec!["agent-2"])).and_log_failure();

    now += Duration::from_secs(11);
    let probe = balancer::Request::new().may_probe(true);
    let probes: Vec<_> = (0..10)
        .map(|_| chooser.select(now, &probe, &mut rng).unwrap())
        .filter(|choice| choice.reason == balancer::Reason::Probe)
        .collect();
    verify_that!(probes.len(), eq(1)).and_log_failure();
    for _ in 0..12 {
        serve(&mut chooser, now, |_| Duration::from_millis(20));
    }
    now += Duration::from_secs(1);
    let _ = chooser.select(now, &request, &mut rng);
    verify_that!(chooser.ejected().count(), eq(0)).and_log_failure();
}

#[gtest]
fn at_most_a_third_is_left_out_for_slowness() {
    let (mut chooser, mut rng, now) = (chooser(9), rng(), time::Instant::now());
    for _ in 0..3 {
        serve(&mut chooser, now, |i| Duration::from_millis(if i < 4 { 200 } else { 20 }));
    }
    let _ = chooser.select(now, &balancer::Request::new(), &mut rng);
    verify_that!(chooser.ejected().count(), eq(3)).and_log_failure();
}

#[gtest]
fn an_unreachable_replica_is_probed_less_and_less_often() {
    let (mut chooser, mut rng, start) = (chooser(3), rng(), time::Instant::now());
    chooser.observe("agent-1", balancer::Observation::Unreachable, start);
    let probe = balancer::Request::new().may_probe(true);
    let mut probes = Vec::new();
    for second in 0..100 {
        let now = start + Duration::from_secs(second);
        let choice = chooser.select(now, &probe, &mut rng).unwrap();
        if choice.node == "agent-1" {
            probes.push(second);
            chooser.observe(&choice.node, balancer::Observation::Unreachable, now);
        }
    }
    insta::assert_json_snapshot!(probes, @"
    [
      1,
      3,
      7,
      15,
      31,
      63
    ]
    ");
}

#[gtest]
fn tried_leaving_and_unready_replicas_are_not_chosen() {
    let (mut chooser, mut rng, now) = (chooser(4), rng(), time::Instant::now());
    let mut all = replicas(4);
    all[0].leaving = true;
    all[1].ready = false;
    chooser.set_replicas(all);
    chooser.observe("agent-2", balancer::Observation::Leaving, now);
    let request = balancer::Request::new();
    let choice = chooser.select(now, &request, &mut rng).unwrap();
    verify_that!(choice.node.as_str(), eq("agent-3")).and_log_failure();
    let refusal = chooser.select(now, &request.avoid("agent-3"), &mut rng).unwrap_err();
    verify_that!(refusal.code, eq(code::Code::NoReplica)).and_log_failure();
    verify_that!(refusal.not_run, eq(true)).and_log_failure();
}

#[gtest]
fn with_no_replica_well_the_least_loaded_is_the_last_resort() {
    let (mut chooser, mut rng, now) = (chooser(2), rng(), time::Instant::now());
    for node in ["agent-0", "agent-1"] {
        chooser.observe(node, balancer::Observation::Unreachable, now);
    }
    chooser.report("agent-0", load(3), now);
    let choice = chooser.select(now, &balancer::Request::new(), &mut rng).unwrap();
    verify_that!(choice.reason, eq(balancer::Reason::LastResort)).and_log_failure();
    verify_that!(choice.node.as_str(), eq("agent-1")).and_log_failure();
}

#[gtest]
fn a_subset_changes_by_one_when_a_node_goes() {
    let names: Vec<String> = (0..40).map(|i| format!("agent-{i}")).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let before = subset::pick("entry-1", &all, 10);
    let fewer: Vec<&str> = all.iter().copied().filter(|name| *name != before[3]).collect();
    let after = subset::pick("entry-1", &fewer, 10);
    let kept = after.iter().filter(|name| before.contains(name)).count();
    verify_that!(kept, eq(9)).and_log_failure();
}
