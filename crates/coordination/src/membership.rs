//! Who is there: the platform's lagging list of VMs merged with what processes say of themselves.
//!
//! # Promise
//!
//! * A process that speaks is usable at once, also before the list shows it.
//! * A process that is silent for [`MembershipRules::silence`], or says that it leaves, is not
//!   usable, also while the list still shows it.
//! * A restart is told by the incarnation number; a late message of a former incarnation changes
//!   nothing.
//! * The number of entries is bounded.
//!
//! # Limits
//!
//! Incarnations are drawn at random and have no order. Only direct speech replaces one; what a
//! third process tells ([`Members::told`]) makes a process known, never usable. The last
//! [`FORMER`] incarnations of a process are remembered.

mod heard;
mod listing;
mod member;
mod members;
mod rules;
mod subset;

pub use heard::Heard;
pub use listing::Listing;
pub use member::FORMER;
pub use member::Member;
pub use members::Members;
pub use rules::MembershipRules;
pub use subset::subset;
