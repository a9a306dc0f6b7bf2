//! A versioned configuration with bounded staleness in every process.
//!
//! # Guarantees
//!
//! * The version of a [`VersionedValue`] never decreases.
//! * A change is accepted when its conditional write is applied ([`Proposal`]). Of two changes that
//!   are based on the same version exactly one is accepted; the other fails with a [`Conflict`]
//!   that names the accepted changes and their authors. Retrying a change is idempotent.
//! * [`Freshness`] bounds the time for which a process uses a version after a newer one was
//!   accepted to [`FreshnessOptions::max_staleness`], under any network partition.
//! * [`ReadBudget`] limits the read rate of a process, also when the table service recovers from an
//!   outage.
//!
//! # Limits
//!
//! * While the table service is unavailable no change is accepted. Processes keep serving as long
//!   as every acceptor (a process that may accept changes) recently confirmed that it has accepted
//!   none.
//! * A process does not know whether a change was accepted if the response to its write was lost.
//!   It must not confirm its version until the change is resolved ([`Proposal::is_unresolved`]).
//! * Confirmation is not awaited from an acceptor that is missing in the list of acceptors, even if
//!   it accepts a change while only it can reach the table service.

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
