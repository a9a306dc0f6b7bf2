//! One process in charge: a lease row with a fencing number.
//!
//! # Promise
//!
//! At most one [`Lease`] of a row answers [`Lease::fencing_token`] with a fencing number at any moment,
//! and an effect that leaves right after that answer and takes no longer than
//! [`Timing::send_deadline`] arrives before any successor may act. No clocks are compared: each
//! process measures spans on its own monotonic clock only.
//!
//! # Limits
//!
//! * A process that is paused *between* the answer of `may_act` and the sending of the effect can
//!   send late. Up to twice [`Timing::margin`] (less what the clocks drift apart over one term)
//!   such a pause is harmless. Beyond that only the receiver can help: it must refuse a fencing
//!   number lower than one it has seen, or check the lease row in the transaction that carries
//!   the effect.
//! * A virtual machine whose monotonic clock stands still while it is suspended counts as paused
//!   for that time, between any two of its steps. The same remedy applies.
//! * The row must never be deleted, because fencing numbers would start again at 1.

mod action;
mod event;
mod machine;
mod row;
mod timing;

pub use action::Action;
pub use event::Event;
pub use machine::Lease;
pub use row::LeaseRow;
pub use timing::Timing;
