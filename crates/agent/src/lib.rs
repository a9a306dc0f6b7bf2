//! The agent beside a backend server.
//!
//! It is the authority for what its backend server runs: it takes or refuses each request at
//! once, runs a request id at most once, keeps every running answer so that an entry can ask for
//! the rest of it over a new connection, and counts what is billed.

pub mod backend;
pub mod daemon;
pub mod http;
pub mod meter;
pub mod orders;
pub mod response;
pub mod scheduler;
