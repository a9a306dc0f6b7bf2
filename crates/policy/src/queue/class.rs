//! A class in one queue: its waiting jobs in order, and its credit towards the floor.

use std::collections;
use std::time::Duration;

use azuregap_core::ids;
use azuregap_core::intent;
use tokio::time;

use super::job;

/// Sort key of a waiting job in its class: start tag, then arrival number.
pub(super) type SortKey = (u64, u64);

/// Credit that one dispatch costs. Every dispatch adds the floor in percent.
const DISPATCH_CREDIT: u32 = 100;

/// Limit of the credit of a class without waiting jobs.
const MAX_IDLE_CREDIT: u32 = 2 * DISPATCH_CREDIT;

/// A waiting job.
#[derive(Debug)]
pub(super) struct WaitingJob<T> {
    pub(super) job: job::Job,
    pub(super) item: T,
}

/// A class with its waiting jobs.
#[derive(Debug)]
pub(super) struct Class<T> {
    pub(super) name: ids::ClassId,
    pub(super) tier: ids::Tier,
    /// Minimum share of the dispatches, in percent.
    pub(super) floor: u32,
    /// Target for the first token; none for a class that is not declared.
    pub(super) first_token: Option<Duration>,
    pub(super) jobs: collections::BTreeMap<SortKey, WaitingJob<T>>,
    /// When a job of this class was last offered.
    pub(super) last_offer: Option<time::Instant>,
    credit: u32,
}

impl<T> Class<T> {
    pub(super) fn new(name: ids::ClassId, tier: ids::Tier) -> Self {
        Self {
            name,
            tier,
            floor: 0,
            first_token: None,
            jobs: collections::BTreeMap::new(),
            last_offer: None,
            credit: 0,
        }
    }

    /// Applies the declaration of the class in the intent.
    pub(super) fn declare(&mut self, class: &intent::Class) {
        self.tier = class.tier;
        self.floor = u32::from(class.floor_percent);
        self.first_token = Some(class.first_token);
    }

    /// Removes the floor and the target of a class that is no longer declared.
    pub(super) fn undeclare(&mut self) {
        self.floor = 0;
        self.first_token = None;
    }

    /// Number of jobs that may be shed: all but the one in the reserved place.
    pub(super) fn sheddable_count(&self) -> usize {
        let reserved = usize::from(self.floor > 0);
        self.jobs.len().saturating_sub(reserved)
    }

    /// Whether the class has a reserved place and it is free.
    pub(super) fn has_free_reserved_place(&self) -> bool {
        self.floor > 0 && self.jobs.is_empty()
    }

    /// The credit, if the class has waiting jobs and enough credit for a dispatch.
    pub(super) fn due_credit(&self) -> Option<u32> {
        (!self.jobs.is_empty() && self.credit >= DISPATCH_CREDIT).then_some(self.credit)
    }

    /// Counts a dispatch, of this class if `own`.
    pub(super) fn count_dispatch(&mut self, own: bool) {
        self.credit = self.credit.saturating_add(self.floor);
        if own {
            self.credit = self.credit.saturating_sub(DISPATCH_CREDIT);
        }
    }

    /// Limits the credit of a class without waiting jobs.
    pub(super) fn cap_idle_credit(&mut self) {
        if self.jobs.is_empty() {
            self.credit = self.credit.min(MAX_IDLE_CREDIT);
        }
    }

    pub(super) fn first_key(&self) -> Option<SortKey> {
        self.jobs.first_key_value().map(|(key, _)| *key)
    }

    pub(super) fn last_key(&self) -> Option<SortKey> {
        self.jobs.last_key_value().map(|(key, _)| *key)
    }
}
