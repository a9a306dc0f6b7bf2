//! Queue disciplines that the policy's queue is weighed against, as simple as they can be.

use std::time::Duration;

use azuregap_core::ids;

/// Waiting time that raises a job by one tier under ageing.
const AGEING_STEP: Duration = Duration::from_secs(5);

/// Target for the first token by tier under earliest deadline first.
const TIER_BUDGET: [Duration; 2] = [Duration::from_millis(1100), Duration::from_millis(2500)];

/// A discipline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// First come, first served; full means refused.
    Fifo,
    /// Strict priority, a job rising by one tier for each step of waiting.
    Ageing,
    /// Deficit round robin over tiers by tokens, 80 to 20, with a reserved share of the places.
    Deficit,
    /// Earliest deadline first, the deadline being the tier's budget for the first token.
    Earliest,
}

/// A job that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request.
    pub id: ids::RequestId,
    /// Position of its class.
    pub class: usize,
    /// Its tier.
    pub tier: ids::Tier,
    /// Estimated cost in tokens.
    pub cost: u64,
    /// When it came.
    pub since: Duration,
}

/// A bounded queue under one of the disciplines.
#[derive(Clone, Debug)]
pub struct Simple {
    kind: Kind,
    slots: usize,
    places: usize,
    running: usize,
    waiting: Vec<Waiting>,
    deficits: [i64; 2],
}

/// Quantum in tokens of the two tiers for each round.
const QUANTA: [i64; 2] = [1600, 400];

impl Simple {
    /// An empty queue.
    #[must_use]
    pub const fn new(kind: Kind, slots: usize, places: usize) -> Self {
        Self { kind, slots, places, running: 0, waiting: Vec::new(), deficits: [0; 2] }
    }

    /// Offers a job; returns the one that has no place, which may be the offered one.
    pub fn offer(&mut self, job: Waiting) -> Option<Waiting> {
        self.waiting.push(job);
        if self.waiting.len() <= self.places || self.running < self.slots {
            return None;
        }
        let victim = match self.kind {
            Kind::Fifo => self.waiting.len() - 1,
            Kind::Ageing | Kind::Earliest => self.last_of(self.lowest()),
            Kind::Deficit => self.last_of(self.fullest()),
        };
        Some(self.waiting.remove(victim))
    }

    /// Starts the next job if a slot is free.
    pub fn next(&mut self, now: Duration) -> Option<Waiting> {
        if self.running >= self.slots || self.waiting.is_empty() {
            return None;
        }
        let index = match self.kind {
            Kind::Fifo => 0,
            Kind::Ageing => self.first_by(|job| {
                let raised = (now - job.since).as_secs() / AGEING_STEP.as_secs();
                (u64::from(job.tier).saturating_sub(raised), job.since)
            }),
            Kind::Earliest => self.first_by(|job| (0, job.since + budget(job.tier))),
            Kind::Deficit => self.next_by_deficit(),
        };
        self.running += 1;
        Some(self.waiting.remove(index))
    }

    /// Gives a slot back.
    pub fn finish(&mut self) {
        self.running -= 1;
    }

    /// Takes a waiting job out.
    pub fn cancel(&mut self, id: ids::RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|job| job.id != id);
        self.waiting.len() < before
    }

    /// Jobs that hold a slot.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running
    }

    /// The waiting jobs.
    #[must_use]
    pub fn jobs(&self) -> &[Waiting] {
        &self.waiting
    }

    fn first_by<K: Ord>(&self, key: impl Fn(&Waiting) -> K) -> usize {
        (0..self.waiting.len()).min_by_key(|i| key(&self.waiting[*i])).unwrap_or(0)
    }

    fn lowest(&self) -> ids::Tier {
        self.waiting.iter().map(|job| job.tier).max().unwrap_or(0)
    }

    /// The tier that holds more than its share of the places.
    fn fullest(&self) -> ids::Tier {
        let low = self.waiting.iter().filter(|job| job.tier > 0).count();
        ids::Tier::from(low * 5 > self.waiting.len())
    }

    fn last_of(&self, tier: ids::Tier) -> usize {
        self.waiting.iter().rposition(|job| job.tier == tier).unwrap_or(self.waiting.len() - 1)
    }

    fn next_by_deficit(&mut self) -> usize {
        loop {
            for tier in [0, 1] {
                let first = self.waiting.iter().position(|job| usize::from(job.tier) == tier);
                let Some(first) = first else {
                    self.deficits[tier] = 0;
                    continue;
                };
                let cost = i64::try_from(self.waiting[first].cost).unwrap_or(i64::MAX);
                if self.deficits[tier] >= cost {
                    self.deficits[tier] -= cost;
                    return first;
                }
            }
            for (deficit, quantum) in self.deficits.iter_mut().zip(QUANTA) {
                *deficit += quantum;
            }
        }
    }
}

fn budget(tier: ids::Tier) -> Duration {
    TIER_BUDGET[usize::from(tier).min(TIER_BUDGET.len() - 1)]
}
