//! The bounded queue in front of a backend server: tiers, floors and fair sharing among teams.
//!
//! Dispatch order is strict by tier, except that a class whose floor is due goes first. Inside a
//! tier, teams share by start-time fair queueing over cost in tokens (Goyal, Vin and Cheng, 1996):
//! a job is stamped on arrival with the virtual time at which its team may start it.
//!
//! Two predicates hold over every sequence of calls:
//!
//! - **Tiers.** When a job of tier `t` is shed or refused for want of room, every job of a lower
//!   tier that is left waiting holds the reserved place of its class, given to it earlier, and
//!   none is admitted by that decision. Running jobs are never preempted.
//! - **Floors.** A class that has work waiting over a whole window of `N` dispatches gets at least
//!   `N * floor / 100 - 1` of them, if the floors sum to at most 100; one less for each other
//!   class with a floor that is due at the same time.
//!
//! The reserved place is what lets both hold: the first job in line of each class with a floor
//! cannot be shed, so that a class finds a job to dispatch when its floor is due, however long
//! the burst in a higher tier lasts.

mod bounded;
mod class;
mod decision;
mod job;
mod lane;
mod limits;
mod room;
mod service;

pub use bounded::Queue;
pub use decision::Admission;
pub use decision::Decision;
pub use decision::Dispatched;
pub use decision::Dropped;
pub use job::Job;
pub use limits::Limits;
