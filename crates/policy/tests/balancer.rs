//! Load balancing: prefix affinity, stale load reports, slow, failing and leaving replicas.

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

fn balancer_of(count: usize) -> balancer::Balancer {
    let mut balancer = balancer::Balancer::new("perth-north");
    balancer.set_replicas(replicas(count));
    balancer
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(17)
}

fn load(running: u32) -> balancer::Load {
    balancer::Load { running, waiting: 0, slots: 8, backlog: 0 }
}

fn count_reasons(selections: &[balancer::Selection]) -> collections::BTreeMap<String, usize> {
    let mut counts = collections::BTreeMap::new();
    for selection in selections {
        *counts.entry(format!("{} {:?}", selection.node, selection.reason)).or_insert(0) += 1;
    }
    counts
}

/// Reports progress for each replica at the time per token given by `token_time`.
fn observe_progress(
    balancer: &mut balancer::Balancer,
    now: time::Instant,
    token_time: impl Fn(usize) -> Duration,
) {
    for (i, replica) in replicas(9).iter().enumerate() {
        let progress = balancer::Observation::Progress { tokens: 10, elapsed: token_time(i) * 10 };
        balancer.observe(&replica.node, progress, now);
    }
}

#[gtest]
fn prefix_affinity_yields_when_the_cached_replica_is_busier() {
    let (mut balancer, mut rng, now) = (balancer_of(9), rng(), time::Instant::now());
    let prefix = balancer::prefix::hash("advisor", b"the tariff notes");
    let request = balancer::Request::new().prefix(prefix);
    let selections: Vec<_> =
        (0..24).map(|_| balancer.select(now, &request, &mut rng).unwrap()).collect();
    insta::assert_json_snapshot!(count_reasons(&selections));
}

#[gtest]
fn entries_with_the_same_stale_report_spread_their_requests() {
    let now = time::Instant::now();
    let mut counts = collections::BTreeMap::new();
    for entry in 0..3 {
        let mut rng = ChaCha8Rng::seed_from_u64(entry);
        let mut balancer = balancer_of(9);
        for (i, replica) in replicas(9).iter().enumerate() {
            balancer.report(&replica.node, load(if i == 4 { 0 } else { 3 }), now);
        }
        for _ in 0..30 {
            let selection = balancer.select(now, &balancer::Request::new(), &mut rng).unwrap();
            *counts.entry(selection.node).or_insert(0) += 1;
        }
    }
    let most = counts.values().max().copied().unwrap_or_default();
    verify_that!(most, le(20)).and_log_failure();
    insta::assert_json_snapshot!(counts);
}

#[gtest]
fn a_slow_replica_is_ejected_probed_and_readmitted() {
    let (mut balancer, mut rng, mut now) = (balancer_of(9), rng(), time::Instant::now());
    let slow = |i| Duration::from_millis(if i == 2 { 200 } else { 20 });
    for _ in 0..3 {
        observe_progress(&mut balancer, now, slow);
    }
    let request = balancer::Request::new();
    let to_slow = (0..100)
        .filter(|_| balancer.select(now, &request, &mut rng).unwrap().node == "agent-2")
        .count();
    verify_that!(to_slow, eq(0)).and_log_failure();
    verify_that!(balancer.ejected().collect::<Vec<_>>(), eq(&vec!["agent-2"])).and_log_failure();

    now += Duration::from_secs(11);
    let probe = balancer::Request::new().may_probe(true);
    let probes: Vec<_> = (0..10)
        .map(|_| balancer.select(now, &probe, &mut rng).unwrap())
        .filter(|selection| selection.reason == balancer::Reason::Probe)
        .collect();
    verify_that!(probes.len(), eq(1)).and_log_failure();
    for _ in 0..12 {
        observe_progress(&mut balancer, now, |_| Duration::from_millis(20));
    }
    now += Duration::from_secs(1);
    let _ = balancer.select(now, &request, &mut rng);
    verify_that!(balancer.ejected().count(), eq(0)).and_log_failure();
}

#[gtest]
fn at_most_a_third_of_replicas_is_ejected_as_slow() {
    let (mut balancer, mut rng, now) = (balancer_of(9), rng(), time::Instant::now());
    for _ in 0..3 {
        observe_progress(&mut balancer, now, |i| {
            Duration::from_millis(if i < 4 { 200 } else { 20 })
        });
    }
    let _ = balancer.select(now, &balancer::Request::new(), &mut rng);
    verify_that!(balancer.ejected().count(), eq(3)).and_log_failure();
}

#[gtest]
fn probe_delay_of_an_unreachable_replica_doubles() {
    let (mut balancer, mut rng, start) = (balancer_of(3), rng(), time::Instant::now());
    balancer.observe("agent-1", balancer::Observation::Unreachable, start);
    let probe = balancer::Request::new().may_probe(true);
    let mut probes = Vec::new();
    for second in 0..100 {
        let now = start + Duration::from_secs(second);
        let selection = balancer.select(now, &probe, &mut rng).unwrap();
        if selection.node == "agent-1" {
            probes.push(second);
            balancer.observe(&selection.node, balancer::Observation::Unreachable, now);
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
fn tried_leaving_and_unready_replicas_are_not_selected() {
    let (mut balancer, mut rng, now) = (balancer_of(4), rng(), time::Instant::now());
    let mut all = replicas(4);
    all[0].leaving = true;
    all[1].ready = false;
    balancer.set_replicas(all);
    balancer.observe("agent-2", balancer::Observation::Leaving, now);
    let request = balancer::Request::new();
    let selection = balancer.select(now, &request, &mut rng).unwrap();
    verify_that!(selection.node.as_str(), eq("agent-3")).and_log_failure();
    let refusal = balancer.select(now, &request.avoid("agent-3"), &mut rng).unwrap_err();
    verify_that!(refusal.code, eq(code::Code::NoReplica)).and_log_failure();
    verify_that!(refusal.not_run, eq(true)).and_log_failure();
}

#[gtest]
fn the_least_loaded_replica_is_selected_if_all_are_ejected() {
    let (mut balancer, mut rng, now) = (balancer_of(2), rng(), time::Instant::now());
    for node in ["agent-0", "agent-1"] {
        balancer.observe(node, balancer::Observation::Unreachable, now);
    }
    balancer.report("agent-0", load(3), now);
    let selection = balancer.select(now, &balancer::Request::new(), &mut rng).unwrap();
    verify_that!(selection.reason, eq(balancer::Reason::LastResort)).and_log_failure();
    verify_that!(selection.node.as_str(), eq("agent-1")).and_log_failure();
}

#[gtest]
fn removing_a_node_replaces_one_member_of_the_subset() {
    let names: Vec<String> = (0..40).map(|i| format!("agent-{i}")).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    let before = subset::pick("entry-1", &all, 10);
    let fewer: Vec<&str> = all.iter().copied().filter(|name| *name != before[3]).collect();
    let after = subset::pick("entry-1", &fewer, 10);
    let kept = after.iter().filter(|name| before.contains(name)).count();
    verify_that!(kept, eq(9)).and_log_failure();
}
