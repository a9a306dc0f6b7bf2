//! Leader election by a lease row with a fencing token.
//!
//! # Guarantees
//!
//! At any moment [`Lease::fencing_token`] returns a token for at most one of the [`Lease`]s that
//! compete for a row. A message that is sent immediately after that call, and that takes no longer
//! than [`Timing::send_deadline`], arrives before a successor is allowed to act. Clocks of
//! different processes are never compared; each process only measures durations on its own
//! monotonic clock.
//!
//! # Limits
//!
//! * A process that is paused *between* the call of `fencing_token` and the send can send late.
//!   Pauses of up to twice [`Timing::margin`], less the clock drift over one term, are harmless.
//!   For longer pauses the receiver must reject fencing tokens lower than one that it has seen, or
//!   check the lease row in the transaction that performs the effect.
//! * A virtual machine whose monotonic clock stops while it is suspended counts as paused for that
//!   time, at any point of its execution. The same countermeasures apply.
//! * The row must never be deleted, because fencing tokens would restart at 1.

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
