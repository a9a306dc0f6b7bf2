//! Dissemination of new versions: a few readers per zone and a relay tree for the other processes.
//!
//! The members of a zone are ordered by rendezvous hashing. The first [`RelayOptions::readers`]
//! members read the table service. Every other member queries its parent in a tree with
//! [`RelayOptions::fan_out`] children per node. *Proofs of freshness* are pulled, because only the
//! querying process can bound the age of the response on its own clock. *Notifications* are pushed:
//! a process that applies a new version notifies its children at once, and they query it. Versions
//! are also piggybacked on every message between processes, and a process that is behind queries
//! the sender.
//!
//! A member whose parent does not respond queries the next ancestor, and reads the table service
//! itself when no ancestor is left. A reader whose read fails queries the other readers of its
//! zone.
//!
//! # Limits
//!
//! Members with different views of the zone compute different trees until their views converge.
//! This delays versions but never yields a wrong one, because versions never decrease.

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
