//! Coordination parts to embed: one process in charge, work that runs at most once, one
//! configuration in force everywhere, and usage that is billed exactly once.
//!
//! Everything that must last is a row in a transactional table service that the embedding
//! program reaches by itself. Nothing here opens a socket, reads a clock or spawns a task: each
//! part is a state machine that is fed events (a row that was read, the [`store::WriteOutcome`] of a
//! write, the present [`tokio::time::Instant`]) and answers with a typed action (what to read or
//! write next, what is allowed now). That makes every part testable in virtual time.
//!
//! | part | promise |
//! |---|---|
//! | [`lease`] | at most one process may act at any moment; fencing numbers only grow |
//! | [`claim`] | work under an idempotency key runs at most once; "not run" is said only where true |
//! | [`configuration`] | versions never go back; a superseded version is acted on for a bounded time |
//! | [`dissemination`] | a new version reaches every process over few readers and a relay tree |
//! | [`membership`] | who is usable, from a lagging list and direct speech |
//! | [`ledger`] | durable usage is billed exactly once; all reports of a window are the same text |
//!
//! Each module states its promise, what it needs from its surroundings, and its limits.
//!
//! # What the table service must do
//!
//! * A read answers with the latest applied write.
//! * A write may name versions that rows must have (0: absent); it is applied as a whole or not at
//!   all, and moves the versions of the rows that it writes on.
//! * The answer of a write may be lost, and the write may even be applied some time later; the
//!   caller feeds [`store::WriteOutcome::Unknown`] then, and never retries on its own.
//!
//! Rows are plain serde structures; the caller stores them as JSON under a key of its choice.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_coordination::lease;
//! use azuregap_coordination::store;
//! use tokio::time;
//!
//! let start = time::Instant::now();
//! let mut row = store::VersionedRow::absent();
//! let mut lease = lease::Lease::new("entry-1", 7, lease::Timing::default());
//!
//! // The row is read once, then watched for a whole term and margin, then taken.
//! assert_eq!(lease.handle(lease::Event::Tick, start), lease::Action::Read);
//! lease.handle(lease::Event::ReadDone(row.clone()), start);
//! let later = start + Duration::from_secs(10);
//! let lease::Action::Write { version, row: next } = lease.handle(lease::Event::Tick, later) else {
//!     panic!("the row was watched for long enough");
//! };
//! assert_eq!(version, row.version);
//! row = store::VersionedRow::new(version + 1, next);
//! lease.handle(lease::Event::WriteDone(store::WriteOutcome::Applied(row.version)), later);
//!
//! // To be asked right before each order is sent.
//! assert_eq!(lease.fencing_token(later), Some(1));
//! assert_eq!(lease.fencing_token(later + Duration::from_secs(3)), None);
//! ```

pub mod claim;
pub mod configuration;
pub mod dissemination;
pub mod ids;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod rendezvous;
pub mod store;
