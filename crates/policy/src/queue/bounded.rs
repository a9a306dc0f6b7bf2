//! The queue itself.

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
use super::job;
use super::lane;
use super::limits;
use super::service;

/// How long headroom is kept for a tier after its last request.
const HEADROOM_MEMORY: Duration = Duration::from_secs(60);

/// A job that holds a slot.
#[derive(Debug)]
struct Running {
    team: ids::TeamId,
    tier: ids::Tier,
    cost: u64,
    since: time::Instant,
}

/// Where a waiting job stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub(super) class: usize,
    pub(super) position: class::Position,
}

/// The bounded queue of one backend server; see the [module](super) for what it guarantees.
///
/// Every call costs at most logarithmic time in the number of waiting requests, and a look at
/// each class.
#[derive(Debug)]
pub struct Queue<T> {
    pub(super) limits: limits::Limits,
    pub(super) classes: Vec<class::Class<T>>,
    lanes: SmallVec<[lane::Lane; 4]>,
    weights: collections::HashMap<ids::TeamId, u32>,
    pub(super) places: collections::HashMap<ids::RequestId, Place>,
    deadlines: collections::BTreeSet<(time::Instant, ids::RequestId)>,
    running: collections::HashMap<ids::RequestId, Running>,
    pub(super) service: service::Service,
    arrivals: u64,
}

impl<T> Queue<T> {
    /// An empty queue with no class declared.
    #[must_use]
    pub fn new(limits: limits::Limits) -> Self {
        Self {
            limits,
            classes: Vec::new(),
            lanes: SmallVec::new(),
            weights: collections::HashMap::new(),
            places: collections::HashMap::new(),
            deadlines: collections::BTreeSet::new(),
            running: collections::HashMap::new(),
            service: service::Service::default(),
            arrivals: 0,
        }
    }

    /// Takes other bounds; what waits or runs stays.
    pub fn set_limits(&mut self, limits: limits::Limits) {
        self.limits = limits;
    }

    /// Takes the tiers, floors and targets of the classes; what waits stays.
    pub fn set_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a intent::Class>) {
        self.classes.iter_mut().for_each(class::Class::withdraw);
        for declared in classes {
            let index = self.class_index(&declared.name, declared.tier);
            self.classes[index].declare(declared);
            self.ensure_lane(declared.tier);
        }
    }

    /// Takes the weights of the teams; a team that is not among them has weight 1.
    pub fn set_teams<'a>(&mut self, teams: impl IntoIterator<Item = &'a intent::Team>) {
        let uneven = teams.into_iter().filter(|team| team.weight != 1);
        self.weights = uneven.map(|team| (team.name.clone(), team.weight)).collect();
    }

    /// Requests that hold a slot.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
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

    /// Decides on a request: run, wait or refuse, and which waiting ones it displaces.
    pub fn offer(&mut self, now: time::Instant, job: job::Job, item: T) -> decision::Admission<T> {
        if self.places.contains_key(&job.id) || self.running.contains_key(&job.id) {
            let message = "this agent already has the request";
            let refusal = refusal::Refusal::may_have_run(code::Code::ClaimRunning, message);
            return refuse(refusal, item);
        }
        let class = self.class_index(&job.class, job.tier);
        self.classes[class].offered = Some(now);
        if job.deadline.is_some_and(|deadline| deadline <= now) {
            let message = "the deadline passed before the request came";
            let refusal = refusal::Refusal::not_run(code::Code::DeadlineTooShort, message);
            return refuse(refusal, item);
        }
        if self.places.is_empty() && self.has_slot(class, now) {
            self.start_at_once(class, &job, now);
            return decided(decision::Decision::Run(item));
        }
        self.offer_place(class, job, item)
    }

    /// Gives back the slot of a request, with the tokens it cost in fact.
    ///
    /// Returns whether the request held a slot.
    pub fn finish(&mut self, id: ids::RequestId, cost: u64, now: time::Instant) -> bool {
        let Some(run) = self.running.remove(&id) else { return false };
        self.service.observe(now.saturating_duration_since(run.since));
        let weight = self.weight(&run.team);
        let lane = self.ensure_lane(run.tier);
        self.lanes[lane].correct(&run.team, run.cost, cost, weight);
        true
    }

    /// Starts the next waiting request if a slot is free for it.
    ///
    /// Call it until it returns none, after every [`Queue::finish`], [`Queue::cancel`],
    /// [`Queue::offer`] and [`Queue::expire`].
    pub fn start_next(&mut self, now: time::Instant) -> Option<decision::Dispatched<T>> {
        if self.running.len() >= self.limits.slots as usize {
            return None;
        }
        if let Some(class) = self.due_class() {
            return Some(self.start_first(class, now, true));
        }
        let class = self.first_class()?;
        self.has_slot(class, now).then(|| self.start_first(class, now, false))
    }

    /// Takes a waiting request out; one that runs must be ended by [`Queue::finish`] instead.
    pub fn cancel(&mut self, id: ids::RequestId) -> Option<(job::Job, T)> {
        let place = self.places.get(&id).copied()?;
        let waiting = self.take(place);
        Some((waiting.job, waiting.item))
    }

    /// Gives up the waiting requests whose deadline has passed.
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

    /// When [`Queue::expire`] has work next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<time::Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Finds a place for the job: free, reserved, or taken from the job that would run last.
    fn offer_place(&mut self, class: usize, job: job::Job, item: T) -> decision::Admission<T> {
        let tier = self.classes[class].tier;
        let lane = self.ensure_lane(tier);
        let start = self.lanes[lane].start(&job.team);
        let behind = self.lanes[lane].is_behind(start);
        if self.has_room(class, behind) || self.classes[class].has_reserved_place() {
            self.enqueue(class, start, job, item);
            return decided(decision::Decision::Wait);
        }
        let Some(victim) = self.victim(class, start) else {
            self.lanes[lane].miss(&job.team);
            return refuse(self.refusal(tier, code::Code::QueueFull, job.id), item);
        };
        let shed = self.shed(victim);
        self.enqueue(class, start, job, item);
        decision::Admission { decision: decision::Decision::Wait, shed: smallvec![shed] }
    }

    fn shed(&mut self, place: Place) -> decision::Dropped<T> {
        let waiting = self.take(place);
        let tier = self.classes[place.class].tier;
        let lane = self.ensure_lane(tier);
        self.lanes[lane].miss(&waiting.job.team);
        let refusal = self.refusal(tier, code::Code::Shed, waiting.job.id);
        decision::Dropped { job: waiting.job, item: waiting.item, refusal }
    }

    fn enqueue(&mut self, class: usize, start: u64, job: job::Job, item: T) {
        self.arrivals += 1;
        let position = (start, self.arrivals);
        let weight = self.weight(&job.team);
        let lane = self.ensure_lane(self.classes[class].tier);
        self.lanes[lane].charge(&job.team, start, job.cost, weight);
        self.places.insert(job.id, Place { class, position });
        if let Some(deadline) = job.deadline {
            self.deadlines.insert((deadline, job.id));
        }
        self.classes[class].jobs.insert(position, class::Waiting { job, item });
    }

    /// Takes a waiting job out and gives its cost back to its team.
    fn take(&mut self, place: Place) -> class::Waiting<T> {
        let waiting = self.remove(place);
        let weight = self.weight(&waiting.job.team);
        let lane = self.ensure_lane(self.classes[place.class].tier);
        self.lanes[lane].correct(&waiting.job.team, waiting.job.cost, 0, weight);
        self.classes[place.class].settle();
        waiting
    }

    fn remove(&mut self, place: Place) -> class::Waiting<T> {
        let jobs = &mut self.classes[place.class].jobs;
        let waiting = jobs.remove(&place.position).expect("every place leads to a waiting job");
        self.places.remove(&waiting.job.id);
        if let Some(deadline) = waiting.job.deadline {
            self.deadlines.remove(&(deadline, waiting.job.id));
        }
        waiting
    }

    /// The class with the most credit among those whose floor is due.
    fn due_class(&self) -> Option<usize> {
        let due = self.classes.iter().enumerate();
        let due = due.filter_map(|(i, class)| Some((class.due()?, i)));
        due.max().map(|(_, i)| i)
    }

    /// The class whose first job is next by tier, then by virtual start.
    fn first_class(&self) -> Option<usize> {
        let classes = self.classes.iter().enumerate();
        let first = classes.filter_map(|(i, class)| Some((class.tier, class.first()?, i)));
        first.min().map(|(_, _, i)| i)
    }

    /// Whether a slot is free for the class, above the headroom kept for higher tiers.
    fn has_slot(&self, class: usize, now: time::Instant) -> bool {
        let tier = self.classes[class].tier;
        let recent = |at: time::Instant| now.saturating_duration_since(at) <= HEADROOM_MEMORY;
        let mut higher = self.classes.iter().filter(|class| class.tier < tier);
        let kept = higher.any(|class| class.offered.is_some_and(recent));
        let headroom = if kept { self.limits.headroom } else { 0 };
        self.running.len() < self.limits.slots.saturating_sub(headroom).max(1) as usize
    }

    fn start_at_once(&mut self, class: usize, job: &job::Job, now: time::Instant) {
        let tier = self.classes[class].tier;
        let weight = self.weight(&job.team);
        let lane = self.ensure_lane(tier);
        let start = self.lanes[lane].start(&job.team);
        self.lanes[lane].charge(&job.team, start, job.cost, weight);
        self.lanes[lane].advance(start);
        self.count_dispatch(class);
        self.run(job, tier, now);
    }

    fn start_first(
        &mut self,
        class: usize,
        now: time::Instant,
        floor: bool,
    ) -> decision::Dispatched<T> {
        let position = self.classes[class].first().expect("the class has a job");
        let tier = self.classes[class].tier;
        self.count_dispatch(class);
        let waiting = self.remove(Place { class, position });
        self.classes[class].settle();
        let lane = self.ensure_lane(tier);
        self.lanes[lane].advance(position.0);
        self.run(&waiting.job, tier, now);
        decision::Dispatched { job: waiting.job, item: waiting.item, floor_due: floor }
    }

    fn count_dispatch(&mut self, dispatched: usize) {
        for (i, class) in self.classes.iter_mut().enumerate() {
            class.count_dispatch(i == dispatched);
            class.settle();
        }
    }

    fn run(&mut self, job: &job::Job, tier: ids::Tier, now: time::Instant) {
        let run = Running { team: job.team.clone(), tier, cost: job.cost, since: now };
        self.running.insert(job.id, run);
    }

    fn weight(&self, team: &str) -> u32 {
        self.weights.get(team).copied().unwrap_or(1)
    }

    fn class_index(&mut self, name: &str, tier: ids::Tier) -> usize {
        if let Some(index) = self.classes.iter().position(|class| class.name == name) {
            return index;
        }
        self.classes.push(class::Class::new(name.to_owned(), tier));
        self.classes.len() - 1
    }

    fn ensure_lane(&mut self, tier: ids::Tier) -> usize {
        if let Some(index) = self.lanes.iter().position(|lane| lane.tier == tier) {
            return index;
        }
        self.lanes.push(lane::Lane::new(tier));
        self.lanes.len() - 1
    }
}

fn refuse<T>(refusal: refusal::Refusal, item: T) -> decision::Admission<T> {
    decided(decision::Decision::Refuse { refusal, item })
}

fn decided<T>(decision: decision::Decision<T>) -> decision::Admission<T> {
    decision::Admission { decision, shed: SmallVec::new() }
}
