//! Clients of the platform: table service, object store, zone orders, usage intake and VM list.
//!
//! Each client holds a closure that carries one call, so that the same client speaks HTTP in the
//! daemons and to an in-process fake in tests on paused time.

pub mod call;
pub mod error;
pub mod http;
pub mod objects;
pub mod orders;
pub mod strict;
pub mod table;
pub mod usage;
pub mod vms;
