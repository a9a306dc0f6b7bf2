//! Exactly-once billing of usage.
//!
//! # Protocol
//!
//! A writer is an agent, or an entry that holds copies of the records of a crashed agent. It
//! collects records in a [`Batcher`] and inserts them as [`BatchRow`]s, on the condition that both
//! the batch row *and* the row of its window are absent. Closing a window starts with inserting its
//! [`WindowRow`]. From then on the set of its batches is fixed, so that every [`WindowCloser`] that
//! reads them computes the same [`Report`]. The report is frozen in the window row before it is
//! sent, and the same text is resent until it is acknowledged. A batch that is too late moves to a
//! later window, whose report labels the records with the window that they belong to.
//!
//! # Guarantees
//!
//! * A durable record is billed exactly once, despite lost responses, restarts, copies written by
//!   several processes, and changes of the lease holder.
//! * All reports of a window have the same text.
//!
//! # Limits
//!
//! * A record that is only in the memory of one process is lost if that process crashes. If an
//!   entry has a copy, the record is lost only if both the agent *and* the entry crash before
//!   either has written it.
//! * If there are two records of a request, the one counted by the agent is billed. If they are in
//!   different windows, the one in the earlier window is billed.
//! * Batch rows must be kept for as long as a record of their window may still arrive.
//! * The caller of a [`WindowCloser`] must hold the lease: each write checks the lease row in the
//!   same transaction, and [`crate::lease::Lease::fencing_token`] is checked immediately before
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
