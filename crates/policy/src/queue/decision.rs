//! What the queue decides.

use azuregap_core::refusal;
use smallvec::SmallVec;

use super::job;

/// The decision on one offered request.
#[derive(Clone, Debug)]
pub struct Admission<T> {
    /// What becomes of the offered request.
    pub decision: Decision<T>,
    /// Waiting requests that lose their place by this decision; nothing of them ran.
    pub shed: SmallVec<[Dropped<T>; 1]>,
}

/// What becomes of an offered request.
#[derive(Clone, Debug)]
pub enum Decision<T> {
    /// It holds a slot now; [`super::Queue::finish`] must follow.
    Run(T),
    /// It waits; [`super::Queue::start_next`] hands it out later.
    Wait,
    /// It is not taken.
    Refuse {
        /// Why, and when to come back.
        refusal: refusal::Refusal,
        /// What was offered.
        item: T,
    },
}

/// A waiting request that was given up.
#[derive(Clone, Debug)]
pub struct Dropped<T> {
    /// The job.
    pub job: job::Job,
    /// What was offered with it.
    pub item: T,
    /// The final answer for it.
    pub refusal: refusal::Refusal,
}

/// A request that holds a slot from now on.
#[derive(Clone, Debug)]
pub struct Dispatched<T> {
    /// The job.
    pub job: job::Job,
    /// What was offered with it.
    pub item: T,
    /// Whether it went before its turn because the floor of its class was due.
    pub floor_due: bool,
}
