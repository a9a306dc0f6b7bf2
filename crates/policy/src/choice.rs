//! Which replica a request goes to, as one entry decides it.
//!
//! An entry knows a [`subset`] of the replicas of each pool. It keeps to the replica that likely
//! has the prompt's [`prefix`] cached while that replica is not much busier than others, and
//! takes the better of a few sampled at random else (the power of two choices, Mitzenmacher,
//! 1996). Replicas that fail, or that are much slower than their peers, are left out and probed.
//!
//! Load reports lag. What the entry sent since the last report is added to it, and sampling keeps
//! entries that hold the same old report from choosing the same replica.

mod chooser;
mod health;
mod known;
mod load;
mod outcome;
pub mod prefix;
mod reason;
mod replica;
mod request;
pub mod subset;

pub use chooser::Chooser;
pub use load::Load;
pub use outcome::Outcome;
pub use reason::Choice;
pub use reason::Reason;
pub use replica::Replica;
pub use request::Request;
