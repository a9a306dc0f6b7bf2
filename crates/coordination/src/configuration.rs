//! One configuration in force everywhere that never goes back.
//!
//! # Promise
//!
//! * [`VersionedValue`] only moves to a higher version.
//! * A change is accepted when its conditional write is applied ([`Proposal`]); of two changes
//!   that were made from one version exactly one is accepted, and the other learns who changed
//!   what. A change that is proposed again has one effect.
//! * [`Freshness`] bounds how long a process acts on a version after a newer one was accepted: at
//!   most [`FreshnessOptions::max_staleness`], whatever the process is cut from.
//! * [`ReadBudget`] bounds the reads of one process, also when a table service comes back.
//!
//! # Limits
//!
//! * While the table service is down nothing is accepted. Processes go on with what they have as
//!   long as every process that could accept a change says, recently, that it did not.
//! * A process that accepted a change whose answer was lost does not know it yet; it must not vouch
//!   until it read the row back ([`Proposal`] is not settled).
//! * A process that is missing from the list of acceptors and that accepts a change while it can
//!   reach the table service and others cannot, is not waited for.

mod action;
mod backoff;
mod budget;
mod change;
mod conflict;
mod event;
mod freshness;
mod options;
mod outcome;
mod proposal;
mod row;
mod update;
mod versioned;

pub use action::Action;
pub use backoff::JitteredBackoff;
pub use budget::ReadBudget;
pub use change::AcceptedChange;
pub use conflict::Conflict;
pub use event::Event;
pub use freshness::Freshness;
pub use options::FreshnessOptions;
pub use outcome::Outcome;
pub use proposal::Proposal;
pub use row::ConfigurationRow;
pub use update::UpdateOutcome;
pub use versioned::VersionedValue;
