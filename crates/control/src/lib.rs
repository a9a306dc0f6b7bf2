//! Control services: leader lease, configuration distribution, membership, intent API, orders and
//! usage reports.
//!
//! `azuregap-coordination` and `azuregap-policy` make the decisions. This crate performs the I/O
//! for them and provides handles that the services of entries and agents read.
//!
//! ```
//! use azuregap_control::snapshot;
//! use azuregap_core::intent;
//!
//! let handle = snapshot::Handle::default();
//! assert!(handle.advance(snapshot::Snapshot::new(2, intent::Intent::default())));
//! assert!(!handle.advance(snapshot::Snapshot::new(1, intent::Intent::default())));
//! assert_eq!(handle.load().version, 2);
//! ```

pub mod clock;
pub mod configuration;
pub mod directory;
pub mod failure;
pub mod holder;
pub mod intent_api;
pub mod keys;
pub mod mailbox;
pub mod membership;
pub mod metrics;
pub mod orders;
pub mod peer_client;
pub mod placement;
pub mod plans;
pub mod process;
pub mod reports;
pub mod snapshot;
pub mod tasks;
pub mod usage;
