//! Which replica a request goes to, as one entry decides it.
//!
//! An entry knows a [`subset`] of the replicas of each pool. It keeps to the replica that likely
//! has the prompt's [`prefix`] cached while that replica is not much busier than others, and
//! takes the better of a few sampled at random else (the power of two choices, Mitzenmacher,
//! 1996). Replicas that fail, or that are much slower than their peers, are left out and probed.
//!
//! Load reports lag. What the entry sent since the last report is added to it, and sampling keeps
//! entries that hold the same old report from choosing the same replica.

mod health;
mod known;
mod load;
mod observation;
mod pool;
pub mod prefix;
mod replica;
mod request;
mod selection;
pub mod subset;

pub use load::Load;
pub use observation::Observation;
pub use pool::Balancer;
pub use replica::Replica;
pub use request::Request;
pub use selection::Reason;
pub use selection::Selection;
