//! Load balancing among the replicas of a pool, as decided by one entry.
//!
//! An entry knows a [`subset`] of the replicas of each pool. It prefers the replica that likely
//! has the prompt's [`prefix`] cached, as long as that replica is not much busier than the others.
//! Otherwise it takes the less loaded of two replicas sampled at random (the power of two choices,
//! Mitzenmacher, 1996). Replicas that fail, or that are much slower than their peers, are ejected
//! and probed from time to time.
//!
//! Load reports lag. The entry adds the requests it has sent since the last report, and random
//! sampling keeps entries that hold the same old report from selecting the same replica.

mod health;
mod load;
mod observation;
mod pool;
pub mod prefix;
mod replica;
mod request;
mod selection;
pub mod subset;
mod tracked;

pub use load::Load;
pub use observation::Observation;
pub use pool::Balancer;
pub use replica::Replica;
pub use request::Request;
pub use selection::Reason;
pub use selection::Selection;
