//! Decisions of the queue.

use azuregap_core::refusal;
use smallvec::SmallVec;

use super::job;

/// The decision on an offered request, with the waiting requests that were shed for it.
#[derive(Clone, Debug)]
pub struct Admission<T> {
    /// Decision on the offered request.
    pub decision: Decision<T>,
    /// Waiting requests that lost their place to the offered one; none of them has run.
    pub shed: SmallVec<[Dropped<T>; 1]>,
}

/// Decision on an offered request.
#[derive(Clone, Debug)]
pub enum Decision<T> {
    /// The request holds a slot from now on; [`super::Queue::finish`] must follow.
    Run(T),
    /// The request waits; [`super::Queue::start_next`] returns it later.
    Wait,
    /// The request is refused.
    Refuse {
        /// The reason, and the time after which to retry.
        refusal: refusal::Refusal,
        /// The item that was offered.
        item: T,
    },
}

/// A waiting request that was shed or has expired.
#[derive(Clone, Debug)]
pub struct Dropped<T> {
    /// The job.
    pub job: job::Job,
    /// The item that was offered with it.
    pub item: T,
    /// The refusal to answer it with.
    pub refusal: refusal::Refusal,
}

/// A waiting request that holds a slot from now on.
#[derive(Clone, Debug)]
pub struct Dispatched<T> {
    /// The job.
    pub job: job::Job,
    /// The item that was offered with it.
    pub item: T,
    /// Whether it was dispatched out of order because the floor of its class was due.
    pub floor_due: bool,
}
