//! The queue's invariants for tiers and floors over random histories, and single behaviours.

use std::collections;
use std::time::Duration;

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_policy::queue;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner;
use rand_chacha::rand_core::SeedableRng as _;
use tokio::time;

const CLASSES: [(&str, ids::Tier, u8); 3] =
    [("summary", 0, 0), ("chat", 1, 20), ("coaching", 2, 10)];

fn class(name: &str, tier: ids::Tier, floor_percent: u8) -> intent::Class {
    intent::Class {
        name: name.to_owned(),
        tier,
        first_token: Duration::from_millis(1100),
        token_gap: Duration::from_millis(27),
        floor_percent,
        deadline: Duration::from_secs(60),
    }
}

fn classes() -> Vec<intent::Class> {
    CLASSES.iter().map(|(name, tier, floor)| class(name, *tier, *floor)).collect()
}

fn queue_of(slots: u32, waiting: u32) -> queue::Queue<()> {
    let mut queue = queue::Queue::new(queue::Limits::new(slots, waiting));
    queue.set_classes(&classes());
    queue
}

#[derive(Clone, Debug)]
enum Step {
    Offer { class: usize, team: u8, cost: u64 },
    Finish { pick: usize },
    Cancel { pick: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let offer = (0..3usize, 0..4u8, 1..500u64);
    let offer = offer.prop_map(|(class, team, cost)| Step::Offer { class, team, cost });
    let finish = any::<usize>().prop_map(|pick| Step::Finish { pick });
    let cancel = any::<usize>().prop_map(|pick| Step::Cancel { pick });
    prop::collection::vec(prop_oneof![12 => offer, 6 => finish, 1 => cancel], 1..300)
}

/// A dispatched class, with the classes that had waiting jobs just before.
#[derive(Debug)]
struct Dispatch {
    class: ids::ClassId,
    waiting: collections::BTreeSet<ids::ClassId>,
}

/// Applies steps to a queue and logs the dispatches.
struct Harness {
    queue: queue::Queue<()>,
    now: time::Instant,
    running: Vec<ids::RequestId>,
    issued: ids::RequestId,
    log: Vec<Dispatch>,
}

impl Harness {
    fn new(slots: u32, waiting: u32) -> Self {
        let (queue, now) = (queue_of(slots, waiting), time::Instant::now());
        Self { queue, now, running: Vec::new(), issued: 0, log: Vec::new() }
    }

    fn step(&mut self, step: &Step) -> std::result::Result<(), test_runner::TestCaseError> {
        self.now += Duration::from_millis(40);
        match *step {
            Step::Offer { class, team, cost } => self.offer(class, team, cost)?,
            Step::Finish { pick } if !self.running.is_empty() => {
                let id = self.running.swap_remove(pick % self.running.len());
                prop_assert!(self.queue.finish(id, 100, self.now));
            }
            Step::Cancel { pick } if self.queue.waiting() > 0 => {
                let id = self.queue.waiting_jobs().nth(pick % self.queue.waiting()).unwrap().0.id;
                prop_assert!(self.queue.cancel(id).is_some());
            }
            Step::Finish { .. } | Step::Cancel { .. } => {}
        }
        self.dispatch();
        Ok(())
    }

    fn offer(
        &mut self,
        class: usize,
        team: u8,
        cost: u64,
    ) -> std::result::Result<(), test_runner::TestCaseError> {
        let (name, tier, _) = CLASSES[class];
        self.issued += 1;
        let job = queue::Job::new(self.issued, name, format!("team-{team}")).tier(tier).cost(cost);
        let offer = self.queue.offer(self.now, job, ());
        for dropped in &offer.shed {
            prop_assert!(
                tier <= dropped.job.tier,
                "a job of tier {} shed one of a higher tier",
                tier
            );
            prop_assert!(dropped.refusal.not_run && dropped.refusal.retry_after.is_some());
            self.check_tiers(dropped.job.tier)?;
        }
        match offer.decision {
            queue::Decision::Run(()) => {
                self.running.push(self.issued);
                let waiting = collections::BTreeSet::new();
                self.log.push(Dispatch { class: name.to_owned(), waiting });
            }
            queue::Decision::Wait => {}
            queue::Decision::Refuse { refusal, .. } => {
                prop_assert_eq!(refusal.code, code::Code::QueueFull);
                prop_assert!(refusal.not_run && refusal.retry_after.is_some());
                self.check_tiers(tier)?;
            }
        }
        Ok(())
    }

    /// Checks the tier invariant: a job that keeps waiting below `tier` holds a reserved place.
    fn check_tiers(&self, tier: ids::Tier) -> std::result::Result<(), test_runner::TestCaseError> {
        for (job, reserved) in self.queue.waiting_jobs() {
            prop_assert!(
                job.tier <= tier || reserved,
                "{:?} keeps waiting, but a job of tier {} was shed or refused",
                job,
                tier
            );
        }
        Ok(())
    }

    /// Starts waiting jobs while there are free slots.
    fn dispatch(&mut self) {
        loop {
            let waiting = self.queue.waiting_jobs().map(|(job, _)| job.class.clone()).collect();
            let Some(started) = self.queue.start_next(self.now) else { break };
            self.running.push(started.job.id);
            self.log.push(Dispatch { class: started.job.class, waiting });
        }
    }

    /// Checks the floor invariant over every window in which the class had jobs waiting throughout.
    fn check_floors(&self) -> std::result::Result<(), test_runner::TestCaseError> {
        let others = CLASSES.iter().filter(|(_, _, floor)| *floor > 0).count() - 1;
        for (name, _, floor) in CLASSES {
            for first in 0..self.log.len() {
                let mut own = 0;
                for (n, dispatch) in self.log[first..].iter().enumerate() {
                    if !dispatch.waiting.contains(name) {
                        break;
                    }
                    own += usize::from(dispatch.class == name);
                    let share = (n + 1) * usize::from(floor) / 100;
                    prop_assert!(own + 1 + others >= share, "{}: {} of {}", name, own, n + 1);
                }
            }
        }
        Ok(())
    }
}

fn seeded_runner(cases: u32, seed: u64) -> test_runner::TestRunner {
    let config = test_runner::Config { cases, failure_persistence: None, ..Default::default() };
    let seed = [seed.to_le_bytes(); 4].concat();
    let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &seed);
    test_runner::TestRunner::new_with_rng(config, rng)
}

#[gtest]
fn tiers_and_floors_hold_over_random_histories() {
    let cases = (1..6u32, 0..12u32, steps());
    let outcome = seeded_runner(400, 11).run(&cases, |(slots, waiting, steps)| {
        let mut harness = Harness::new(slots, waiting);
        steps.iter().try_for_each(|step| harness.step(step))?;
        prop_assert!(harness.queue.running() <= slots as usize);
        prop_assert!(harness.queue.waiting() <= waiting as usize + 2);
        harness.check_floors()
    });
    verify_that!(outcome, ok(anything())).and_log_failure();
}

/// Makes `offers` in each of `rounds`, frees the slot once per round and counts the dispatches by
/// class and team.
fn count_dispatches(
    rounds: u32,
    offers: &[(&str, &str, u64)],
) -> collections::BTreeMap<String, u32> {
    let mut queue = queue_of(1, 24);
    let mut now = time::Instant::now();
    let mut running = None;
    let mut counts = collections::BTreeMap::new();
    for round in 0..rounds {
        for (i, (class, team, cost)) in offers.iter().enumerate() {
            let id = u128::from(round) * 100 + i as u128 + 1;
            let job = queue::Job::new(id, *class, *team).cost(*cost);
            if let queue::Decision::Run(()) = queue.offer(now, job, ()).decision {
                running = Some(id);
            }
        }
        now += Duration::from_millis(10);
        queue.finish(running.take().unwrap_or_default(), 100, now);
        let Some(started) = queue.start_next(now) else { continue };
        running = Some(started.job.id);
        *counts.entry(format!("{} {}", started.job.class, started.job.team)).or_insert(0) += 1;
    }
    counts
}

#[gtest]
fn floors_hold_during_a_burst_in_the_top_tier() {
    let burst = [("summary", "a", 100); 4];
    let lower = [("chat", "a", 100), ("coaching", "a", 100)];
    insta::assert_json_snapshot!(count_dispatches(
        1000,
        &[burst.as_slice(), lower.as_slice()].concat()
    ));
}

#[gtest]
fn teams_of_equal_weight_get_equal_shares_despite_unequal_offers() {
    let flood = [("summary", "large", 100); 9];
    insta::assert_json_snapshot!(count_dispatches(
        1000,
        &[flood.as_slice(), &[("summary", "small", 100)]].concat()
    ));
}

#[gtest]
fn the_share_of_a_team_is_charged_with_actual_cost() {
    let mut queue = queue_of(1, 64);
    let now = time::Instant::now();
    for id in 1..=20u128 {
        let team = if id.is_multiple_of(2) { "even" } else { "odd" };
        let _ = queue.offer(now, queue::Job::new(id, "summary", team).cost(100), ());
    }
    let actual = |id: ids::RequestId| if id.is_multiple_of(2) { 900 } else { 100 };
    let mut running = 1;
    for id in 21..=220u128 {
        queue.finish(running, actual(running), now);
        let team = if id.is_multiple_of(2) { "even" } else { "odd" };
        let _ = queue.offer(now, queue::Job::new(id, "summary", team).cost(100), ());
        running = queue.start_next(now).unwrap().job.id;
    }
    let left = queue.waiting_jobs().filter(|(job, _)| job.team == "even").count();
    verify_that!(left, gt(queue.waiting() * 3 / 4)).and_log_failure();
}

#[gtest]
fn a_waiting_request_expires_at_its_deadline_without_running() {
    let mut queue = queue_of(1, 8);
    let now = time::Instant::now();
    let _ = queue.offer(now, queue::Job::new(1, "chat", "a"), ());
    let late = queue::Job::new(2, "chat", "a").deadline(now + Duration::from_secs(1));
    let _ = queue.offer(now, late, ());
    verify_that!(queue.next_deadline(), some(eq(now + Duration::from_secs(1)))).and_log_failure();
    verify_that!(queue.expire(now).len(), eq(0)).and_log_failure();
    let dropped = queue.expire(now + Duration::from_secs(1));
    verify_that!(dropped[0].refusal.code, eq(code::Code::DeadlinePassed)).and_log_failure();
    verify_that!(dropped[0].refusal.not_run, eq(true)).and_log_failure();
    verify_that!(queue.waiting(), eq(0)).and_log_failure();
}

#[gtest]
fn the_refusal_of_a_duplicate_request_is_not_marked_not_run() {
    let mut queue = queue_of(1, 8);
    let now = time::Instant::now();
    let _ = queue.offer(now, queue::Job::new(1, "chat", "a"), ());
    let again = queue.offer(now, queue::Job::new(1, "chat", "a"), ());
    let queue::Decision::Refuse { refusal, .. } = again.decision else { panic!("{again:?}") };
    verify_that!(refusal.code, eq(code::Code::ClaimRunning)).and_log_failure();
    verify_that!(refusal.not_run, eq(false)).and_log_failure();
}

#[gtest]
fn lower_tiers_leave_headroom_while_a_higher_tier_is_in_use() {
    let mut queue = queue_of(8, 64);
    let now = time::Instant::now();
    let _ = queue.offer(now, queue::Job::new(1, "summary", "a"), ());
    for id in 2..=20 {
        let _ = queue.offer(now, queue::Job::new(id, "coaching", "b"), ());
    }
    verify_that!(queue.running(), eq(7)).and_log_failure();
    let summary = queue.offer(now, queue::Job::new(21, "summary", "a"), ());
    verify_that!(matches!(summary.decision, queue::Decision::Wait), eq(true)).and_log_failure();
    verify_that!(queue.start_next(now).map(|started| started.job.id), some(eq(21)))
        .and_log_failure();
}

/// Dispatches of a large and a small team, with four times as many offers as dispatches and four
/// times as many offers by the large team.
fn dispatches_of_two_teams(waiting: u32) -> (u32, u32) {
    let mut queue = queue_of(1, waiting);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(3);
    let now = time::Instant::now();
    let (mut running, mut large, mut small) = (0, 0, 0);
    for id in 1..=8000_u128 {
        let team = if rng.random_bool(0.8) { "large" } else { "small" };
        let job = queue::Job::new(id, "summary", team).cost(1000);
        if let queue::Decision::Run(()) = queue.offer(now, job, ()).decision {
            running = id;
        }
        if id.is_multiple_of(4) {
            queue.finish(running, 1000, now);
            let Some(started) = queue.start_next(now) else { continue };
            running = started.job.id;
            *(if started.job.team == "large" { &mut large } else { &mut small }) += 1;
        }
    }
    (large, small)
}

#[gtest]
fn a_team_whose_requests_are_refused_keeps_its_share() {
    let (large, small) = dispatches_of_two_teams(1);
    verify_that!(f64::from(small) / f64::from(large), ge(0.8)).and_log_failure();
}

#[gtest]
fn a_reserved_place_goes_to_the_team_with_the_lower_start_tag() {
    let mut queue = queue_of(1, 0);
    let now = time::Instant::now();
    for (id, team) in [(1, "large"), (2, "large"), (3, "small")] {
        let _ = queue.offer(now, queue::Job::new(id, "chat", team).cost(100), ());
    }
    let waiting: Vec<_> = queue.waiting_jobs().map(|(job, reserved)| (job.id, reserved)).collect();
    verify_that!(waiting, eq(&vec![(3, true)])).and_log_failure();
}
