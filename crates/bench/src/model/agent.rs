//! An agent with its queue and its backend server.

use std::time::Duration;

use azuregap_core::ids;
use azuregap_core::refusal;
use azuregap_policy::balancer;
use azuregap_policy::queue;
use tokio::time;

use super::engine;
use crate::deployment;
use crate::discipline;
use crate::system;

/// One dispatch at an agent.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// When.
    pub at: Duration,
    /// Position of the class dispatched.
    pub class: usize,
    /// For each class, whether it had work waiting just before.
    pub waiting: Vec<bool>,
}

/// The queue of an agent, the policy's or another.
#[derive(Debug)]
enum Line {
    Queue(Box<queue::Queue<()>>),
    Other(discipline::Simple),
}

/// A request that an agent turns away.
#[derive(Debug)]
pub(super) struct Refused {
    pub(super) id: usize,
    pub(super) refusal: refusal::Refusal,
}

/// A job as it is offered.
#[derive(Clone, Debug)]
pub(super) struct Offered {
    pub(super) id: usize,
    pub(super) class: usize,
    pub(super) team: ids::TeamId,
    pub(super) cost: u64,
    pub(super) deadline: Duration,
}

/// An agent with its queue and its backend server.
#[derive(Debug)]
pub(super) struct Agent {
    pub(super) pool: usize,
    pub(super) name: ids::NodeId,
    pub(super) zone: &'static str,
    pub(super) slots: u32,
    pub(super) engine: engine::Engine,
    pub(super) epoch: u64,
    pub(super) log: Vec<Dispatch>,
    line: Line,
    classes: Vec<(ids::ClassId, ids::Tier)>,
    base: time::Instant,
}

impl Agent {
    pub(super) fn new(
        deployment: &deployment::Deployment,
        pool: usize,
        number: usize,
        ordering: system::Ordering,
        base: time::Instant,
    ) -> Self {
        let bounds = &deployment.pools[pool];
        let classes = deployment.work.iter().map(|work| &work.class);
        let line = match ordering {
            system::Ordering::Queue => {
                let mut queue = queue::Queue::new(queue::Limits::new(bounds.slots, bounds.waiting));
                queue.set_classes(classes.clone());
                Line::Queue(Box::new(queue))
            }
            system::Ordering::Other(kind, places) => {
                Line::Other(discipline::Simple::new(kind, bounds.slots as usize, places))
            }
        };
        Self {
            pool,
            name: format!("{}-{number}", bounds.name),
            zone: deployment.zones[number % deployment.zones.len()],
            slots: bounds.slots,
            engine: engine::Engine::new(bounds),
            epoch: 0,
            log: Vec::new(),
            line,
            classes: classes.map(|class| (class.name.clone(), class.tier)).collect(),
            base,
        }
    }

    pub(super) fn load(&self) -> balancer::Load {
        let (running, waiting) = match &self.line {
            Line::Queue(queue) => (queue.running(), queue.waiting()),
            Line::Other(simple) => (simple.running(), simple.jobs().len()),
        };
        let (running, waiting) = (running as u32, waiting as u32);
        balancer::Load { running, waiting, slots: self.slots, backlog: 0 }
    }

    /// Offers a job; returns those turned away, and whether the offered one holds a slot already.
    pub(super) fn offer(&mut self, now: Duration, job: Offered) -> (Vec<Refused>, bool) {
        let (id, class) = (job.id as u128, job.class);
        let waiting = vec![false; self.classes.len()];
        let (name, tier) = self.classes[job.class].clone();
        match &mut self.line {
            Line::Queue(queue) => {
                let job = queue::Job::new(id, name, job.team)
                    .tier(tier)
                    .cost(job.cost)
                    .deadline(self.base + job.deadline);
                let offer = queue.offer(self.base + now, job, ());
                let mut refused: Vec<_> = offer.shed.into_iter().map(Refused::from).collect();
                let run = matches!(offer.decision, queue::Decision::Run(()));
                if let queue::Decision::Refuse { refusal, .. } = offer.decision {
                    refused.push(Refused { id: id as usize, refusal });
                }
                if run {
                    self.log.push(Dispatch { at: now, class, waiting });
                }
                (refused, run)
            }
            Line::Other(simple) => {
                let cost = job.cost;
                let victim =
                    simple.offer(discipline::Waiting { id, class, tier, cost, since: now });
                let full = |id| Refused { id, refusal: full() };
                (victim.map(|job| full(job.id as usize)).into_iter().collect(), false)
            }
        }
    }

    /// Starts the next job if a slot is free.
    pub(super) fn next(&mut self, now: Duration) -> Option<usize> {
        let mut waiting = vec![false; self.classes.len()];
        let (id, class) = match &mut self.line {
            Line::Queue(queue) => {
                for (i, (name, _)) in self.classes.iter().enumerate() {
                    waiting[i] = queue.waiting_jobs().any(|(job, _)| job.class == *name);
                }
                let job = queue.start_next(self.base + now)?.job;
                let class = self.classes.iter().position(|(name, _)| *name == job.class)?;
                (job.id, class)
            }
            Line::Other(simple) => {
                simple.jobs().iter().for_each(|job| waiting[job.class] = true);
                let job = simple.next(now)?;
                (job.id, job.class)
            }
        };
        self.log.push(Dispatch { at: now, class, waiting });
        Some(id as usize)
    }

    pub(super) fn finish(&mut self, now: Duration, id: usize, cost: f64) {
        match &mut self.line {
            Line::Queue(queue) => {
                queue.finish(id as u128, cost as u64, self.base + now);
            }
            Line::Other(simple) => simple.finish(),
        }
    }

    /// Takes a waiting job out.
    pub(super) fn cancel(&mut self, id: usize) {
        match &mut self.line {
            Line::Queue(queue) => drop(queue.cancel(id as u128)),
            Line::Other(simple) => drop(simple.cancel(id as u128)),
        }
    }

    /// Ids of all waiting jobs.
    pub(super) fn waiting(&self) -> Vec<usize> {
        match &self.line {
            Line::Queue(queue) => queue.waiting_jobs().map(|(job, _)| job.id as usize).collect(),
            Line::Other(simple) => simple.jobs().iter().map(|job| job.id as usize).collect(),
        }
    }
}

impl From<queue::Dropped<()>> for Refused {
    fn from(dropped: queue::Dropped<()>) -> Self {
        Self { id: dropped.job.id as usize, refusal: dropped.refusal }
    }
}

fn full() -> refusal::Refusal {
    refusal::Refusal::not_run(azuregap_core::code::Code::QueueFull, "the queue is full")
}
