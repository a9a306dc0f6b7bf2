//! A class at one queue: its waiting jobs in order, and the credit towards its floor.

use std::collections;
use std::time::Duration;

use azuregap_core::ids;
use azuregap_core::intent;
use tokio::time;

use super::job;

/// Position in a class: virtual start, then order of arrival.
pub(super) type Position = (u64, u64);

/// Credit of one whole dispatch; a dispatch adds the floor in percent.
const DISPATCH_CREDIT: u32 = 100;

/// Most credit that a class with nothing waiting saves up.
const IDLE_CREDIT: u32 = 2 * DISPATCH_CREDIT;

/// A waiting job.
#[derive(Debug)]
pub(super) struct Waiting<T> {
    pub(super) job: job::Job,
    pub(super) item: T,
}

/// A class with its waiting jobs.
#[derive(Debug)]
pub(super) struct Class<T> {
    pub(super) name: ids::ClassId,
    pub(super) tier: ids::Tier,
    /// Floor in percent of dispatches.
    pub(super) floor: u32,
    /// Target for the first token; none for a class that is not declared.
    pub(super) target: Option<Duration>,
    pub(super) jobs: collections::BTreeMap<Position, Waiting<T>>,
    /// When a job of this class was last offered.
    pub(super) offered: Option<time::Instant>,
    credit: u32,
}

impl<T> Class<T> {
    pub(super) fn new(name: ids::ClassId, tier: ids::Tier) -> Self {
        Self {
            name,
            tier,
            floor: 0,
            target: None,
            jobs: collections::BTreeMap::new(),
            offered: None,
            credit: 0,
        }
    }

    pub(super) fn declare(&mut self, class: &intent::Class) {
        self.tier = class.tier;
        self.floor = u32::from(class.floor_percent);
        self.target = Some(class.first_token);
    }

    pub(super) fn withdraw(&mut self) {
        self.floor = 0;
        self.target = None;
    }

    /// Jobs that may be shed: all but the one in the reserved place.
    pub(super) fn sheddable(&self) -> usize {
        let reserved = usize::from(self.floor > 0);
        self.jobs.len().saturating_sub(reserved)
    }

    /// Whether the reserved place is there and empty.
    pub(super) fn has_reserved_place(&self) -> bool {
        self.floor > 0 && self.jobs.is_empty()
    }

    /// Credit if the floor is due.
    pub(super) fn due(&self) -> Option<u32> {
        (!self.jobs.is_empty() && self.credit >= DISPATCH_CREDIT).then_some(self.credit)
    }

    /// Counts a dispatch of this class or another.
    pub(super) fn count_dispatch(&mut self, own: bool) {
        self.credit = self.credit.saturating_add(self.floor);
        if own {
            self.credit = self.credit.saturating_sub(DISPATCH_CREDIT);
        }
    }

    /// A class with nothing waiting saves up little credit.
    pub(super) fn settle(&mut self) {
        if self.jobs.is_empty() {
            self.credit = self.credit.min(IDLE_CREDIT);
        }
    }

    pub(super) fn first(&self) -> Option<Position> {
        self.jobs.first_key_value().map(|(position, _)| *position)
    }

    pub(super) fn last(&self) -> Option<Position> {
        self.jobs.last_key_value().map(|(position, _)| *position)
    }
}
