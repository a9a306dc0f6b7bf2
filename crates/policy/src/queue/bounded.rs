//! The bounded queue.

use std::collections;
use std::time::Duration;

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::refusal;
use smallvec::SmallVec;
use smallvec::smallvec;
use tokio::time;

use super::class;
use super::decision;
use super::fair_queue;
use super::job;
use super::limits;
use super::service_time;

/// How long headroom is kept for a tier after its last request.
const HEADROOM_TIME: Duration = Duration::from_secs(60);

/// A job that holds a slot.
#[derive(Debug)]
struct Running {
    team: ids::TeamId,
    tier: ids::Tier,
    /// Estimated cost in tokens.
    cost: u64,
    since: time::Instant,
}

/// Place of a waiting job: position of its class in the queue and sort key in the class.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub(super) class: usize,
    pub(super) key: class::SortKey,
}

/// The bounded queue of one backend server; see the [module](super) for its guarantees.
///
/// Every call takes at most logarithmic time in the number of waiting requests, and linear time in
/// the number of classes.
#[derive(Debug)]
pub struct Queue<T> {
    pub(super) limits: limits::Limits,
    pub(super) classes: Vec<class::Class<T>>,
    /// Fair queueing state of each tier in use.
    tiers: SmallVec<[fair_queue::FairQueue; 4]>,
    /// Weights other than 1.
    weights: collections::HashMap<ids::TeamId, u32>,
    pub(super) places: collections::HashMap<ids::RequestId, Place>,
    deadlines: collections::BTreeSet<(time::Instant, ids::RequestId)>,
    running: collections::HashMap<ids::RequestId, Running>,
    pub(super) service_time: service_time::ServiceTime,
    /// Number of jobs that have joined the queue.
    arrivals: u64,
}

impl<T> Queue<T> {
    /// An empty queue without declared classes.
    #[must_use]
    pub fn new(limits: limits::Limits) -> Self {
        Self {
            limits,
            classes: Vec::new(),
            tiers: SmallVec::new(),
            weights: collections::HashMap::new(),
            places: collections::HashMap::new(),
            deadlines: collections::BTreeSet::new(),
            running: collections::HashMap::new(),
            service_time: service_time::ServiceTime::default(),
            arrivals: 0,
        }
    }

    /// Sets the limits. Waiting and running requests are kept.
    pub fn set_limits(&mut self, limits: limits::Limits) {
        self.limits = limits;
    }

    /// Sets the tiers, floors and targets of the classes. Waiting requests are kept.
    pub fn set_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a intent::Class>) {
        self.classes.iter_mut().for_each(class::Class::undeclare);
        for declared in classes {
            let index = self.class_index(&declared.name, declared.tier);
            self.classes[index].declare(declared);
            self.tier_index(declared.tier);
        }
    }

    /// Sets the weights of the teams. A team that is not among them has weight 1.
    pub fn set_teams<'a>(&mut self, teams: impl IntoIterator<Item = &'a intent::Team>) {
        let weighted = teams.into_iter().filter(|team| team.weight != 1);
        self.weights = weighted.map(|team| (team.name.clone(), team.weight)).collect();
    }

    /// Number of requests that hold a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.places.len()
    }

    /// The waiting jobs, each with whether it holds the reserved place of its class.
    pub fn waiting_jobs(&self) -> impl Iterator<Item = (&job::Job, bool)> {
        self.classes.iter().flat_map(|class| {
            let jobs = class.jobs.values().enumerate();
            jobs.map(|(i, waiting)| (&waiting.job, i == 0 && class.floor > 0))
        })
    }

    /// Decides whether a request runs, waits or is refused, and which waiting ones are shed for it.
    pub fn offer(&mut self, now: time::Instant, job: job::Job, item: T) -> decision::Admission<T> {
        if self.places.contains_key(&job.id) || self.running.contains_key(&job.id) {
            let message = "this agent already has the request";
            let refusal = refusal::Refusal::may_have_run(code::Code::ClaimRunning, message);
            return refused(refusal, item);
        }
        let class = self.class_index(&job.class, job.tier);
        self.classes[class].last_offer = Some(now);
        if job.deadline.is_some_and(|deadline| deadline <= now) {
            let message = "the deadline passed before the request came";
            let refusal = refusal::Refusal::not_run(code::Code::DeadlineTooShort, message);
            return refused(refusal, item);
        }
        if self.places.is_empty() && self.has_free_slot(class, now) {
            self.start_immediately(class, &job, now);
            return without_shedding(decision::Decision::Run(item));
        }
        self.offer_place(class, job, item)
    }

    /// Releases the slot of a request and corrects its cost to the actual one in tokens.
    ///
    /// Returns whether the request held a slot.
    pub fn finish(&mut self, id: ids::RequestId, cost: u64, now: time::Instant) -> bool {
        let Some(run) = self.running.remove(&id) else { return false };
        self.service_time.observe(now.saturating_duration_since(run.since));
        let weight = self.weight(&run.team);
        let tier = self.tier_index(run.tier);
        self.tiers[tier].correct_cost(&run.team, run.cost, cost, weight);
        true
    }

    /// Starts the next waiting request if a slot is free for it.
    ///
    /// Call it until it returns `None` after every [`Queue::finish`], [`Queue::cancel`],
    /// [`Queue::offer`] and [`Queue::expire`].
    pub fn start_next(&mut self, now: time::Instant) -> Option<decision::Dispatched<T>> {
        if self.running.len() >= self.limits.slots as usize {
            return None;
        }
        if let Some(class) = self.class_with_due_floor() {
            return Some(self.start_first(class, now, true));
        }
        let class = self.next_class()?;
        self.has_free_slot(class, now).then(|| self.start_first(class, now, false))
    }

    /// Removes a waiting request. A running one must be ended with [`Queue::finish`] instead.
    pub fn cancel(&mut self, id: ids::RequestId) -> Option<(job::Job, T)> {
        let place = self.places.get(&id).copied()?;
        let waiting = self.remove_and_refund(place);
        Some((waiting.job, waiting.item))
    }

    /// Drops the waiting requests whose deadline has passed.
    pub fn expire(&mut self, now: time::Instant) -> Vec<decision::Dropped<T>> {
        let mut dropped = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            let Some((job, item)) = self.cancel(id) else { break };
            let message = "the deadline passed while the request waited";
            let refusal = refusal::Refusal::not_run(code::Code::DeadlinePassed, message);
            dropped.push(decision::Dropped { job, item, refusal });
        }
        dropped
    }

    /// The earliest deadline of the waiting requests, when [`Queue::expire`] is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<time::Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Finds a place for the job: a free one, the reserved one, or that of a job that is shed.
    fn offer_place(&mut self, class: usize, job: job::Job, item: T) -> decision::Admission<T> {
        let tier = self.classes[class].tier;
        let index = self.tier_index(tier);
        let start_tag = self.tiers[index].start_tag(&job.team);
        let behind = self.tiers[index].is_behind(start_tag);
        if self.has_room(class, behind) || self.classes[class].has_free_reserved_place() {
            self.enqueue(class, start_tag, job, item);
            return without_shedding(decision::Decision::Wait);
        }
        let Some(victim) = self.victim(class, start_tag) else {
            self.tiers[index].record_rejection(&job.team);
            return refused(self.refusal(tier, code::Code::QueueFull, job.id), item);
        };
        let shed = self.shed(victim);
        self.enqueue(class, start_tag, job, item);
        decision::Admission { decision: decision::Decision::Wait, shed: smallvec![shed] }
    }

    fn shed(&mut self, place: Place) -> decision::Dropped<T> {
        let waiting = self.remove_and_refund(place);
        let tier = self.classes[place.class].tier;
        let index = self.tier_index(tier);
        self.tiers[index].record_rejection(&waiting.job.team);
        let refusal = self.refusal(tier, code::Code::Shed, waiting.job.id);
        decision::Dropped { job: waiting.job, item: waiting.item, refusal }
    }

    fn enqueue(&mut self, class: usize, start_tag: u64, job: job::Job, item: T) {
        self.arrivals += 1;
        let key = (start_tag, self.arrivals);
        let weight = self.weight(&job.team);
        let tier = self.tier_index(self.classes[class].tier);
        self.tiers[tier].charge(&job.team, start_tag, job.cost, weight);
        self.places.insert(job.id, Place { class, key });
        if let Some(deadline) = job.deadline {
            self.deadlines.insert((deadline, job.id));
        }
        self.classes[class].jobs.insert(key, class::WaitingJob { job, item });
    }

    /// Removes a waiting job and refunds its cost to its team.
    fn remove_and_refund(&mut self, place: Place) -> class::WaitingJob<T> {
        let waiting = self.remove(place);
        let weight = self.weight(&waiting.job.team);
        let tier = self.tier_index(self.classes[place.class].tier);
        self.tiers[tier].correct_cost(&waiting.job.team, waiting.job.cost, 0, weight);
        self.classes[place.class].cap_idle_credit();
        waiting
    }

    fn remove(&mut self, place: Place) -> class::WaitingJob<T> {
        let jobs = &mut self.classes[place.class].jobs;
        let waiting = jobs.remove(&place.key).expect("every place refers to a waiting job");
        self.places.remove(&waiting.job.id);
        if let Some(deadline) = waiting.job.deadline {
            self.deadlines.remove(&(deadline, waiting.job.id));
        }
        waiting
    }

    /// The class with the most credit among those whose floor is due.
    fn class_with_due_floor(&self) -> Option<usize> {
        let due = self.classes.iter().enumerate();
        let due = due.filter_map(|(i, class)| Some((class.due_credit()?, i)));
        due.max().map(|(_, i)| i)
    }

    /// The class whose first job is next by tier, then by start tag.
    fn next_class(&self) -> Option<usize> {
        let classes = self.classes.iter().enumerate();
        let first = classes.filter_map(|(i, class)| Some((class.tier, class.first_key()?, i)));
        first.min().map(|(_, _, i)| i)
    }

    /// Whether a slot is free for the class, beyond the headroom kept for higher tiers.
    fn has_free_slot(&self, class: usize, now: time::Instant) -> bool {
        let tier = self.classes[class].tier;
        let recent = |at: time::Instant| now.saturating_duration_since(at) <= HEADROOM_TIME;
        let mut higher = self.classes.iter().filter(|class| class.tier < tier);
        let in_use = higher.any(|class| class.last_offer.is_some_and(recent));
        let headroom = if in_use { self.limits.headroom } else { 0 };
        self.running.len() < self.limits.slots.saturating_sub(headroom).max(1) as usize
    }

    /// Starts a job that was offered while nothing waited.
    fn start_immediately(&mut self, class: usize, job: &job::Job, now: time::Instant) {
        let tier = self.classes[class].tier;
        let weight = self.weight(&job.team);
        let index = self.tier_index(tier);
        let start_tag = self.tiers[index].start_tag(&job.team);
        self.tiers[index].charge(&job.team, start_tag, job.cost, weight);
        self.tiers[index].advance(start_tag);
        self.count_dispatch(class);
        self.mark_running(job, tier, now);
    }

    /// Starts the first waiting job of the class.
    fn start_first(
        &mut self,
        class: usize,
        now: time::Instant,
        floor_due: bool,
    ) -> decision::Dispatched<T> {
        let key = self.classes[class].first_key().expect("the class has a waiting job");
        let tier = self.classes[class].tier;
        self.count_dispatch(class);
        let waiting = self.remove(Place { class, key });
        self.classes[class].cap_idle_credit();
        let index = self.tier_index(tier);
        self.tiers[index].advance(key.0);
        self.mark_running(&waiting.job, tier, now);
        decision::Dispatched { job: waiting.job, item: waiting.item, floor_due }
    }

    fn count_dispatch(&mut self, dispatched: usize) {
        for (i, class) in self.classes.iter_mut().enumerate() {
            class.count_dispatch(i == dispatched);
            class.cap_idle_credit();
        }
    }

    fn mark_running(&mut self, job: &job::Job, tier: ids::Tier, now: time::Instant) {
        let run = Running { team: job.team.clone(), tier, cost: job.cost, since: now };
        self.running.insert(job.id, run);
    }

    fn weight(&self, team: &str) -> u32 {
        self.weights.get(team).copied().unwrap_or(1)
    }

    /// Position of the class, which is added if it is not known.
    fn class_index(&mut self, name: &str, tier: ids::Tier) -> usize {
        if let Some(index) = self.classes.iter().position(|class| class.name == name) {
            return index;
        }
        self.classes.push(class::Class::new(name.to_owned(), tier));
        self.classes.len() - 1
    }

    /// Position of the tier's fair queue, which is added if there is none.
    fn tier_index(&mut self, tier: ids::Tier) -> usize {
        if let Some(index) = self.tiers.iter().position(|queue| queue.tier == tier) {
            return index;
        }
        self.tiers.push(fair_queue::FairQueue::new(tier));
        self.tiers.len() - 1
    }
}

fn refused<T>(refusal: refusal::Refusal, item: T) -> decision::Admission<T> {
    without_shedding(decision::Decision::Refuse { refusal, item })
}

/// A decision for which no waiting request is shed.
fn without_shedding<T>(decision: decision::Decision<T>) -> decision::Admission<T> {
    decision::Admission { decision, shed: SmallVec::new() }
}
