//! Versions that never go back, acceptance, freshness and the read budget.

use std::time::Duration;

use azuregap_coordination::configuration;
use azuregap_coordination::store;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use tokio::time;

const MS: Duration = Duration::from_millis(1);

type Row = configuration::ConfigurationRow<u32>;
type Stored = store::VersionedRow<Row>;

fn proposal(base: u64, author: &str) -> configuration::Proposal<u32> {
    configuration::Proposal::new(7, base, format!("change-{author}"), author)
        .summary([format!("{author} withdrew key 1")])
}

/// Runs a proposal against `stored`; `lost` answers of writes are lost after their effect.
fn run(
    acceptance: &mut configuration::Proposal<u32>,
    stored: &mut Stored,
    mut lost: u32,
) -> configuration::Outcome {
    let mut event = configuration::Event::Start;
    loop {
        event = match acceptance.handle(event) {
            configuration::Action::Settled(verdict) => return verdict,
            configuration::Action::Read => configuration::Event::ReadDone(stored.clone()),
            configuration::Action::Write { version, row } if version == stored.version => {
                *stored = store::VersionedRow::new(version + 1, row);
                let outcome = match lost {
                    0 => store::WriteOutcome::Applied(version + 1),
                    _ => store::WriteOutcome::Unknown,
                };
                lost = lost.saturating_sub(1);
                configuration::Event::WriteDone(outcome)
            }
            configuration::Action::Write { .. } => {
                configuration::Event::WriteDone(store::WriteOutcome::Conflict)
            }
        }
    }
}

#[gtest]
fn a_version_never_goes_back() {
    let mut register = configuration::VersionedValue::new();
    expect_that!(register.update(2, "b"), eq(configuration::UpdateOutcome::Applied));
    expect_that!(register.update(1, "a"), eq(configuration::UpdateOutcome::Stale));
    expect_that!(register.update(2, "c"), eq(configuration::UpdateOutcome::Unchanged));
    expect_that!(register.value(), some(eq(&"b")));
    expect_that!(register.is_behind(3), eq(true));
}

#[gtest]
fn of_two_changes_from_one_version_one_wins_and_the_other_learns_who() {
    let mut stored = Stored::absent();
    let first = run(&mut proposal(0, "ann"), &mut stored, 0);
    expect_that!(first, eq(&configuration::Outcome::Accepted(1)));
    let second = run(&mut proposal(0, "bob"), &mut stored, 0);
    insta::assert_debug_snapshot!(second);
}

#[gtest]
fn a_lost_answer_and_a_second_confirmation_have_one_effect() {
    let mut stored = Stored::absent();
    let verdict = run(&mut proposal(0, "ann"), &mut stored, 1);
    expect_that!(verdict, eq(&configuration::Outcome::Accepted(1)));
    let other = run(&mut proposal(1, "bob"), &mut stored, 0);
    expect_that!(other, eq(&configuration::Outcome::Accepted(2)));
    let again = run(&mut proposal(0, "ann"), &mut stored, 0);
    expect_that!(again, eq(&configuration::Outcome::Accepted(1)));
    expect_that!(stored.version, eq(2));
}

#[gtest]
fn a_store_that_is_down_is_told_from_a_lost_answer() {
    let mut down = proposal(0, "ann");
    down.handle(configuration::Event::Start);
    let mut action = down.handle(configuration::Event::ReadFailed);
    while action == configuration::Action::Read {
        action = down.handle(configuration::Event::ReadFailed);
    }
    expect_that!(action, eq(&configuration::Action::Settled(configuration::Outcome::Unavailable)));

    let mut lost = proposal(0, "ann");
    lost.handle(configuration::Event::Start);
    lost.handle(configuration::Event::ReadDone(Stored::absent()));
    expect_that!(lost.is_unresolved(), eq(true));
    let mut action = lost.handle(configuration::Event::WriteDone(store::WriteOutcome::Unknown));
    while action == configuration::Action::Read {
        action = lost.handle(configuration::Event::ReadFailed);
    }
    expect_that!(action, eq(&configuration::Action::Settled(configuration::Outcome::Unknown)));
    expect_that!(lost.is_unresolved(), eq(true));
}

#[gtest]
fn history_is_bounded_and_says_when_it_cannot_tell() {
    let mut stored = Stored::absent();
    for base in 0..40 {
        let change = format!("change-{base}");
        let mut acceptance = configuration::Proposal::new(0, base, change, "ann");
        run(&mut acceptance, &mut stored, 0);
    }
    let row = stored.value.clone().unwrap();
    expect_that!(row.history.len(), eq(Row::MAX_HISTORY));
    let mut lost = proposal(3, "bob");
    lost.handle(configuration::Event::Start);
    let old = configuration::AcceptedChange { version: 3, ..row.history[31].clone() };
    let before = Stored::new(3, Row { value: 0, history: vec![old] });
    lost.handle(configuration::Event::ReadDone(before));
    lost.handle(configuration::Event::WriteDone(store::WriteOutcome::Unknown));
    let action = lost.handle(configuration::Event::ReadDone(stored));
    expect_that!(action, eq(&configuration::Action::Settled(configuration::Outcome::Unknown)));
}

#[gtest]
fn proofs_age_from_before_the_question() {
    let start = time::Instant::now() + Duration::from_secs(60);
    let rules = configuration::FreshnessOptions::new();
    let mut fresh = configuration::Freshness::new("e1", rules);
    expect_that!(fresh.may_serve(true, start), eq(false));
    fresh.confirmed_by_read(start);
    expect_that!(fresh.may_serve(true, start + 4000 * MS), eq(true));
    expect_that!(fresh.may_serve(true, start + 4001 * MS), eq(false));
    fresh.confirmed_by_peer(start + 5000 * MS, 3000 * MS);
    expect_that!(fresh.age(true, start + 6000 * MS), some(eq(4000 * MS)));
}

#[gtest]
fn with_the_store_down_all_acceptors_together_prove_freshness() {
    let start = time::Instant::now();
    let rules = configuration::FreshnessOptions::new();
    let mut fresh = configuration::Freshness::new("e1", rules);
    fresh.set_acceptors(["e1", "e2", "e3"].map(str::to_owned));
    fresh.confirmed_by_acceptor("e2", start);
    expect_that!(fresh.may_serve(true, start), eq(false));
    fresh.confirmed_by_acceptor("e3", start + 1000 * MS);
    expect_that!(fresh.fresh_at(true, start + 2000 * MS), some(eq(start)));
    // A process with a change of its own under way proves nothing.
    expect_that!(fresh.fresh_at(false, start + 2000 * MS), none());
    fresh.confirmed_by_acceptor("stranger", start);
    fresh.set_acceptors(["e1", "e3"].map(str::to_owned));
    expect_that!(fresh.fresh_at(true, start + 2000 * MS), some(eq(start + 1000 * MS)));
}

/// One process of the partition test.
struct Process {
    version: u64,
    fresh: configuration::Freshness,
}

/// Three acceptors and an entry that may not accept, random links to each other and to the store,
/// one step each 250 ms: none serves with a version superseded for longer than the bound.
#[gtest]
fn no_process_serves_a_superseded_version_for_longer_than_the_bound() {
    let rules = configuration::FreshnessOptions::new();
    let (mut served, mut refused, mut superseded) = (0, 0, 0);
    for seed in 0..200 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let names = ["e1", "e2", "e3", "e4"];
        let mut all = names.map(|name| {
            let mut fresh = configuration::Freshness::new(name, rules);
            fresh.set_acceptors(names[..3].iter().map(|&name| name.to_owned()));
            Process { version: 0, fresh }
        });
        let start = time::Instant::now();
        let mut accepted = vec![start];
        let mut store_up = [true; 4];
        let mut linked = [[true; 4]; 4];
        for step in 0..400u32 {
            let now = start + step * 250 * MS;
            if step % 40 == 0 {
                let outage = rng.random_bool(0.3);
                store_up = [(); 4].map(|()| !outage && rng.random_bool(0.4));
                linked = [(); 4].map(|()| [(); 4].map(|()| rng.random_bool(0.3)));
            }
            for i in 0..4 {
                if store_up[i] {
                    if i < 3 && rng.random_bool(0.02) {
                        accepted.push(now);
                    }
                    all[i].version = accepted.len() as u64 - 1;
                    all[i].fresh.confirmed_by_read(now);
                }
                for j in (0..4).filter(|&j| j != i) {
                    if linked[i][j] {
                        let version = all[j].version.max(all[i].version);
                        let level = all[j].version == version;
                        all[i].version = version;
                        // A peer that is behind proves nothing about the version in force.
                        if level {
                            if let Some(age) = all[j].fresh.age(true, now) {
                                all[i].fresh.confirmed_by_peer(now, age);
                            }
                            all[i].fresh.confirmed_by_acceptor(names[j], now);
                        }
                    }
                }
                let serves = all[i].fresh.may_serve(true, now);
                let next = accepted.get(all[i].version as usize + 1);
                let late = next.is_some_and(|&at| now > at + rules.max_staleness);
                expect_that!(serves && late, eq(false), "seed {seed} step {step} process {i}");
                superseded += u32::from(late);
                *(if serves { &mut served } else { &mut refused }) += 1;
            }
        }
    }
    // Without the rule the processes would have served these with a superseded version.
    expect_that!(superseded, gt(1000));
    expect_that!(served, gt(refused));
}

#[gtest]
fn reads_are_bounded_and_spread() {
    let start = time::Instant::now();
    let mut budget = configuration::ReadBudget::new(100 * MS, 3);
    for _ in 0..3 {
        expect_that!(budget.try_acquire(start), ok(eq(())));
    }
    expect_that!(budget.try_acquire(start), err(eq(start + 100 * MS)));
    expect_that!(budget.try_acquire(start + 100 * MS), ok(eq(())));

    // A thousand processes that all failed at once come back spread over the second half of 16 s.
    let mut pace = (0..1000).map(|seed| configuration::JitteredBackoff::new(1000 * MS, seed));
    let at = |pace: &mut configuration::JitteredBackoff| {
        (0..5).map(|_| pace.after_failure(start)).last().unwrap()
    };
    let mut busiest = [0; 80];
    for mut pace in pace.by_ref() {
        let slot = (at(&mut pace) - start).as_millis() as usize / 100 - 80;
        busiest[slot.min(79)] += 1;
    }
    // 1,000 reads over 8 s are 12.5 in 100 ms; twice the mean plus chance is the bound.
    expect_that!(busiest.iter().max(), some(le(&30)));
}
