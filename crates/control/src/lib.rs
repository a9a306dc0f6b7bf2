//! Control services: lease keeper, configuration spread, membership, intent API, orders and
//! usage closing.
//!
//! The decisions are in `azuregap-coordination` and `azuregap-policy`; this crate does the I/O
//! around them and offers handles that the services of entries and agents read.

pub mod directory;
pub mod process;
pub mod snapshot;
