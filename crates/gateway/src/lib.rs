//! The HTTP gateway of an entry VM.
//!
//! A gateway accepts client requests, checks the API key and the route against the newest
//! configuration, selects a backend server and relays the response. Gateways exchange their load
//! over UDP datagrams, watch the configuration and the backend servers through a
//! [`store::Store`], and elect one of them to report usage.
//!
//! The decision logic is in [`decision`]; it does no I/O and takes the time as an argument. A
//! [`codec::Codec`] translates the names that are specific to a deployment.
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

pub mod backend_limits;
pub mod clock;
pub mod codec;
pub mod configuration;
pub mod decision;
pub mod directory;
mod learned_capacities;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod process;
pub mod proxy;
pub mod request_digest;
pub mod service;
pub mod settings;
pub mod state;
pub mod store;
mod suspects;
