//! The parts of azuregap that other programs embed, under one name.
//!
//! Azuregap routes language-model traffic under service levels, priorities and a spend limit. Its
//! daemons are thin services around the libraries re-exported here; none of these but
//! [`wire`] opens a socket, and [`coordination`] and [`policy`] depend on neither actix nor nng.
//!
//! | Module | Holds |
//! |---|---|
//! | [`core`] | ids, numbered result codes, intents and settings with their checks |
//! | [`kernel`] | micro-kernel: services by name, started in order and stopped gracefully |
//! | [`coordination`] | lease, claims, configuration and usage as state machines without I/O |
//! | [`policy`] | queueing, fair sharing, replica choice, retries and the planner as pure functions |
//! | [`wire`] | typed messages between processes, their codec and sockets |
//!
//! ```
//! use azuregap::core::intent;
//! use azuregap::core::settings;
//!
//! let text = r#"{
//!     "classes": [], "teams": [], "pools": [], "routes": [],
//!     "zones": [{ "name": "perth-north", "region": "perth-metro", "spend": 20, "price": 4000000 }]
//! }"#;
//! let intent: intent::Intent = settings::from_text(text).unwrap();
//! let faults = intent.check();
//! assert_eq!(faults[0].path, "zones[0].spend");
//! assert_eq!(faults[0].code.number(), 5003);
//! ```

pub use azuregap_coordination as coordination;
pub use azuregap_core as core;
pub use azuregap_kernel as kernel;
pub use azuregap_policy as policy;
pub use azuregap_wire as wire;
