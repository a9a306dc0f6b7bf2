//! How a new version reaches every process: few readers per zone, a relay tree for the rest.
//!
//! The members of a zone are ordered by rendezvous hashing. The first [`RelayOptions::readers`]
//! read the table service; every other member asks its parent in a tree with
//! [`RelayOptions::fan_out`] children a node. Two things travel. *Proofs of freshness* are pulled,
//! because only the one who asks can bound the age of the answer on its own clock. *News* is
//! pushed: who takes a new version tells its children at once, and they ask for it. Versions are
//! also piggybacked on every message between processes, and the one behind asks.
//!
//! A member whose parent is silent asks the next ancestor, and reads the table service itself once
//! it ran out of ancestors. A reader whose read fails asks the other readers of its zone.
//!
//! # Limits
//!
//! Members with unlike views of the zone may have unlike trees for as long as the views differ;
//! that costs time, never a wrong version, because versions only grow.

mod action;
mod disseminator;
mod event;
mod options;
mod position;

pub use action::Action;
pub use disseminator::Disseminator;
pub use event::Event;
pub use options::RelayOptions;
pub use position::TreePosition;
