//! The queue's two predicates over random histories, and small histories as snapshots.

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

/// What was dispatched, with the classes that had work waiting just before.
#[derive(Debug)]
struct Dispatch {
    class: ids::ClassId,
    waiting: collections::BTreeSet<ids::ClassId>,
}

/// Replays steps and keeps the decision log.
struct Replay {
    queue: queue::Queue<()>,
    now: time::Instant,
    running: Vec<ids::RequestId>,
    issued: ids::RequestId,
    log: Vec<Dispatch>,
}

impl Replay {
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
            prop_assert!(tier <= dropped.job.tier, "tier {} displaced a higher one", tier);
            prop_assert!(dropped.refusal.not_run && dropped.refusal.retry_after.is_some());
            self.none_lower(dropped.job.tier)?;
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
                self.none_lower(tier)?;
            }
        }
        Ok(())
    }

    /// The tier predicate: what is left waiting below `tier` holds a reserved place.
    fn none_lower(&self, tier: ids::Tier) -> std::result::Result<(), test_runner::TestCaseError> {
        for (job, reserved) in self.queue.waiting_jobs() {
            prop_assert!(job.tier <= tier || reserved, "{:?} stays, tier {} goes", job, tier);
        }
        Ok(())
    }

    fn dispatch(&mut self) {
        loop {
            let waiting = self.queue.waiting_jobs().map(|(job, _)| job.class.clone()).collect();
            let Some(started) = self.queue.start_next(self.now) else { break };
            self.running.push(started.job.id);
            self.log.push(Dispatch { class: started.job.class, waiting });
        }
    }

    /// The floor predicate, over every window in which the class had work waiting throughout.
    fn floors_hold(&self) -> std::result::Result<(), test_runner::TestCaseError> {
        let others = CLASSES.iter().filter(|(_, _, floor)| *floor > 0).count() - 1;
        for (name, _, floor) in CLASSES {
            for from in 0..self.log.len() {
                let mut own = 0;
                for (n, dispatch) in self.log[from..].iter().enumerate() {
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

fn seeded(cases: u32, seed: u64) -> test_runner::TestRunner {
    let config = test_runner::Config { cases, failure_persistence: None, ..Default::default() };
    let seed = [seed.to_le_bytes(); 4].concat();
    let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &seed);
    test_runner::TestRunner::new_with_rng(config, rng)
}

#[gtest]
fn predicates_hold_over_random_histories() {
    let cases = (1..6u32, 0..12u32, steps());
    let outcome = seeded(400, 11).run(&cases, |(slots, waiting, steps)| {
        let mut replay = Replay::new(slots, waiting);
        steps.iter().try_for_each(|step| replay.step(step))?;
        prop_assert!(replay.queue.running() <= slots as usize);
        prop_assert!(replay.queue.waiting() <= waiting as usize + 2);
        replay.floors_hold()
    });
    verify_that!(outcome, ok(anything())).and_log_failure();
}

/// Keeps every class in demand while `rounds` slots come free, and counts dispatches by class.
fn served(rounds: u32, offers: &[(&str, &str, u64)]) -> collections::BTreeMap<String, u32> {
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
fn a_burst_in_the_top_tier_leaves_each_floor() {
    let burst = [("summary", "a", 100); 4];
    let lower = [("chat", "a", 100), ("coaching", "a", 100)];
    insta::assert_json_snapshot!(served(1000, &[burst.as_slice(), lower.as_slice()].concat()));
}

#[gtest]
fn teams_of_equal_weight_share_whatever_they_ask() {
    let flood = [("summary", "large", 100); 9];
    insta::assert_json_snapshot!(served(
        1000,
        &[flood.as_slice(), &[("summary", "small", 100)]].concat()
    ));
}

#[gtest]
fn a_team_pays_for_the_tokens_it_used_in_fact() {
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
fn a_passed_deadline_is_answered_without_a_run() {
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
fn a_second_offer_of_a_request_is_never_called_not_run() {
    let mut queue = queue_of(1, 8);
    let now = time::Instant::now();
    let _ = queue.offer(now, queue::Job::new(1, "chat", "a"), ());
    let again = queue.offer(now, queue::Job::new(1, "chat", "a"), ());
    let queue::Decision::Refuse { refusal, .. } = again.decision else { panic!("{again:?}") };
    verify_that!(refusal.code, eq(code::Code::ClaimRunning)).and_log_failure();
    verify_that!(refusal.not_run, eq(false)).and_log_failure();
}

#[gtest]
fn lower_tiers_leave_headroom_once_a_higher_tier_is_in_use() {
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

/// Dispatches of two teams when the queue has one place and most requests find it taken.
fn served_of_two(waiting: u32) -> (u32, u32) {
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
fn a_team_that_finds_no_place_keeps_its_share() {
    let (large, small) = served_of_two(1);
    verify_that!(f64::from(small) / f64::from(large), ge(0.8)).and_log_failure();
}

#[gtest]
fn a_reserved_place_goes_to_the_team_that_is_first() {
    let mut queue = queue_of(1, 0);
    let now = time::Instant::now();
    for (id, team) in [(1, "large"), (2, "large"), (3, "small")] {
        let _ = queue.offer(now, queue::Job::new(id, "chat", team).cost(100), ());
    }
    let waiting: Vec<_> = queue.waiting_jobs().map(|(job, reserved)| (job.id, reserved)).collect();
    verify_that!(waiting, eq(&vec![(3, true)])).and_log_failure();
}
