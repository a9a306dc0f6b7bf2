//! Membership: the platform's list of VMs, which lags behind, merged with messages from processes.
//!
//! # Guarantees
//!
//! * A process is usable as soon as a message from it arrives, even before it is listed.
//! * A process that has been silent for [`MembershipOptions::silence_timeout`], or that announced
//!   that it is leaving, is not usable, even while it is still listed.
//! * A restart is detected by the incarnation; a late message from a former incarnation is
//!   ignored.
//! * The number of known processes is bounded.
//!
//! # Limits
//!
//! Incarnations are random and have no order. Only a message received directly from a process
//! changes its incarnation. Information from third processes ([`Members::record_gossip`]) makes a
//! process known but never usable. Only the last [`MAX_FORMER`] incarnations of a process are
//! remembered.

mod listing;
mod member;
mod members;
mod options;
mod outcome;
mod subset;

pub use listing::Listing;
pub use member::MAX_FORMER;
pub use member::Member;
pub use members::Members;
pub use options::MembershipOptions;
pub use outcome::MessageOutcome;
pub use subset::subset;
