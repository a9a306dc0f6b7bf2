//! Who is there: the platform's lagging list of VMs merged with what processes say of themselves.
//!
//! # Promise
//!
//! * A process that speaks is usable at once, also before the list shows it.
//! * A process that is silent for [`MembershipOptions::silence_timeout`], or says that it leaves, is not
//!   usable, also while the list still shows it.
//! * A restart is told by the incarnation number; a late message of a former incarnation changes
//!   nothing.
//! * The number of entries is bounded.
//!
//! # Limits
//!
//! Incarnations are drawn at random and have no order. Only direct speech replaces one; what a
//! third process tells ([`Members::record_gossip`]) makes a process known, never usable. The last
//! [`MAX_FORMER`] incarnations of a process are remembered.

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
