//! The bounded queue in front of a backend server: tiers, floors and fair sharing among teams.
//!
//! Dispatch is in strict order of tiers, except that a class whose floor is due goes first. Within
//! a tier, teams share by start-time fair queueing over the cost in tokens (Goyal, Vin and Cheng,
//! 1996): on arrival a job gets a start tag, the virtual time at which its team may start it.
//!
//! Two invariants hold over every sequence of calls:
//!
//! - **Tiers.** When a job of tier `t` is shed or refused for lack of room, every job of a lower
//!   tier that keeps waiting holds the reserved place of its class. It got the place earlier; the
//!   same decision never admits a job of a lower tier. Running jobs are never preempted.
//! - **Floors.** A class that has jobs waiting throughout a window of `N` dispatches gets at least
//!   `N * floor / 100 - 1` of them, if the floors sum to at most 100; one less for each other
//!   class with a floor that is due at the same time.
//!
//! Both hold because of the reserved place: the first job in line of each class with a floor
//! cannot be shed, so the class has a job to dispatch when its floor is due, however long a burst
//! in a higher tier lasts.

mod admission_control;
mod bounded;
mod class;
mod decision;
mod fair_queue;
mod job;
mod limits;
mod service_time;

pub use bounded::Queue;
pub use decision::Admission;
pub use decision::Decision;
pub use decision::Dispatched;
pub use decision::Dropped;
pub use job::Job;
pub use limits::Limits;
