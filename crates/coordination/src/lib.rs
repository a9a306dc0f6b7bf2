//! Embeddable coordination primitives: leader election, at-most-once execution, configuration
//! distribution, and exactly-once billing of usage.
//!
//! All durable state is in rows of a transactional table service that the embedding program
//! accesses itself. This crate opens no sockets, reads no clock and spawns no tasks. Each module
//! provides a sans-I/O state machine: the caller feeds it events (a row that was read, the
//! [`store::WriteOutcome`] of a write, the current [`tokio::time::Instant`]) and carries out the
//! actions that it returns. Every module can therefore be tested in virtual time.
//!
//! | module | guarantee |
//! |---|---|
//! | [`lease`] | at most one process may act at any moment; fencing tokens never decrease |
//! | [`claim`] | work under an idempotency key runs at most once; "not run" is reported reliably |
//! | [`configuration`] | versions never decrease; a superseded version is used for a bounded time |
//! | [`dissemination`] | new versions reach every process through few readers and a relay tree |
//! | [`membership`] | usable processes, from a lagging list and messages received directly |
//! | [`ledger`] | durable usage is billed exactly once; all reports of a window are identical |
//!
//! Each module documents its guarantees, its requirements on the environment, and its limits.
//!
//! # Requirements on the table service
//!
//! * Reads are linearizable: a read returns the latest applied write.
//! * A write may require rows to have given versions (0: absent). It is atomic, and increases the
//!   versions of the rows that it writes.
//! * The response to a write may be lost, and the write may still be applied later. The caller then
//!   feeds [`store::WriteOutcome::Unknown`] and does not retry on its own.
//!
//! Rows are plain serde structures. The caller stores them as JSON under keys of its choice.
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
//! // The candidate reads the row, waits for a term plus the margin, then acquires the lease.
//! assert_eq!(lease.handle(lease::Event::Tick, start), lease::Action::Read);
//! lease.handle(lease::Event::ReadDone(row.clone()), start);
//! let later = start + Duration::from_secs(10);
//! let lease::Action::Write { version, row: next } = lease.handle(lease::Event::Tick, later) else {
//!     panic!("the takeover delay has passed");
//! };
//! assert_eq!(version, row.version);
//! row = store::VersionedRow::new(version + 1, next);
//! lease.handle(lease::Event::WriteDone(store::WriteOutcome::Applied(row.version)), later);
//!
//! // Checked immediately before each request that requires the lease.
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
