//! Usage that is billed exactly once.
//!
//! # How it works
//!
//! A writer (an agent, or an entry for the copies it holds of a dead agent's records) collects
//! records in a [`Batcher`] and inserts them as [`BatchRow`]s, on the condition that the batch is
//! absent *and* that the row of its window is absent. Closing a window begins with inserting its
//! [`WindowRow`]: from then on the set of its batches cannot change, so every [`WindowCloser`] that reads
//! them makes the same [`Report`]. The report is frozen in the window row before it is sent, and the
//! same text is sent again until it is acknowledged. A batch that comes too late goes into a later
//! window, where its records are marked with the window they belong to.
//!
//! # Promise
//!
//! * A record that became durable is billed exactly once, over lost answers, restarts, copies
//!   written by several processes and changes of the lease holder.
//! * All reports of one window are the same text.
//!
//! # Limits
//!
//! * A record that is in the memory of one process alone is lost with it; with a copy at an entry,
//!   the loss takes the death of the agent *and* of the entry before either has written it.
//! * Of two records of one request the one that was counted by an agent is billed; if they are in
//!   different windows, the one in the earlier window.
//! * Batch rows must be kept for as long as a record of their window could still come.
//! * [`WindowCloser`] writes and sends only as long as its caller holds the lease: each write checks the
//!   lease row in the same transaction, and [`crate::lease::Lease::fencing_token`] is asked right before
//!   each send.

mod batch;
mod batcher;
mod batcher_action;
mod batcher_event;
mod closer;
mod closer_action;
mod closer_event;
mod copies;
mod line;
mod options;
mod record;
mod report;
mod seal;
mod source;
mod usage;
mod window;

pub use batch::BatchRow;
pub use batcher::Batcher;
pub use batcher_action::BatcherAction;
pub use batcher_event::BatcherEvent;
pub use closer::WindowCloser;
pub use closer_action::CloserAction;
pub use closer_event::CloserEvent;
pub use copies::RecordCopies;
pub use line::ReportLine;
pub use options::BatchOptions;
pub use record::Record;
pub use report::Report;
pub use seal::SealRow;
pub use seal::unsealed_writers;
pub use source::RecordSource;
pub use usage::Usage;
pub use window::WindowRow;
pub use window::WindowState;
