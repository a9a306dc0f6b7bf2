//! Small fakes of engine, plain service and platform with fault switches.
//!
//! Each fake is plain in-memory state with an `apply` function. Tests on paused time use it
//! through in-process clients; tests with real processes use the HTTP servers around it. What
//! every interface takes and answers, and what each fault switch does, is in `docs/STANDINS.md`.
//!
//! ```
//! use azuregap_platform::table::{Transaction, TableCall, TableReply};
//! use azuregap_standins::table;
//!
//! let mut state = table::State::default();
//! let insert = Transaction::new().check("lease", 0).put("lease", "entry-1".into());
//! let reply = state.apply(TableCall::Commit(insert));
//! assert_eq!(reply, TableReply::Applied(vec![1]));
//! ```

pub mod engine;
pub mod faults;
mod http;
pub mod objects;
pub mod orders;
pub mod plain;
pub mod platform;
pub mod reports;
pub mod service;
pub mod silent;
pub mod table;
pub mod vms;
