//! One configuration in force everywhere that never goes back.
//!
//! # Promise
//!
//! * [`Versioned`] only moves to a higher version.
//! * A change is accepted when its conditional write is applied ([`Acceptance`]); of two changes
//!   that were made from one version exactly one is accepted, and the other learns who changed
//!   what. A change that is proposed again has one effect.
//! * [`Freshness`] bounds how long a process acts on a version after a newer one was accepted: at
//!   most [`FreshnessRules::max_stale`], whatever the process is cut from.
//! * [`ReadBudget`] bounds the reads of one process, also when a table service comes back.
//!
//! # Limits
//!
//! * While the table service is down nothing is accepted. Processes go on with what they have as
//!   long as every process that could accept a change says, recently, that it did not.
//! * A process that accepted a change whose answer was lost does not know it yet; it must not vouch
//!   until it read the row back ([`Acceptance`] is not settled).
//! * A process that is missing from the list of acceptors and that accepts a change while it can
//!   reach the table service and others cannot, is not waited for.

mod acceptance;
mod accepted;
mod action;
mod budget;
mod conflict;
mod event;
mod freshness;
mod offer;
mod pace;
mod row;
mod rules;
mod verdict;
mod versioned;

pub use acceptance::Acceptance;
pub use accepted::Accepted;
pub use action::Action;
pub use budget::ReadBudget;
pub use conflict::Conflict;
pub use event::Event;
pub use freshness::Freshness;
pub use offer::Offer;
pub use pace::Pace;
pub use row::ConfigurationRow;
pub use rules::FreshnessRules;
pub use verdict::Verdict;
pub use versioned::Versioned;
