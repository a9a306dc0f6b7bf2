//! The HTTP gateway of an entry VM.
//!
//! A gateway takes callers' requests, checks key and route against the newest configuration,
//! places each request on a backend server and relays the answer. Gateways share their load with
//! each other over datagrams, follow the configuration and the backend servers through a
//! [`store::Store`], and elect one of them to report usage.
//!
//! Decisions live in [`decision`]; they do no I/O and take the time as an argument. What a
//! deployment names differently is decoded by a [`codec::Codec`].
//!
//! ```
//! use azuregap_gateway::decision::freshness;
//! use tokio::time;
//!
//! let mut freshness = freshness::Freshness::new(time::Duration::from_secs(5));
//! let start = time::Instant::now();
//! assert!(!freshness.may_trust_keys(start));
//! freshness.record_confirmation(start);
//! assert!(freshness.may_trust_keys(start + time::Duration::from_secs(1)));
//! ```

pub mod clock;
pub mod codec;
pub mod configuration;
pub mod decision;
pub mod directory;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod process;
pub mod proxy;
pub mod service;
pub mod settings;
pub mod state;
pub mod store;
