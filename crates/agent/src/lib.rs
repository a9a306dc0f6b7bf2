//! The agent that runs beside each backend server.
//!
//! The agent alone decides what its backend server runs. It accepts or rejects each request
//! immediately, runs a request id at most once, buffers every response so that an entry can resume
//! it over a new connection, and meters usage for billing.

pub mod backend;
pub mod daemon;
pub mod http;
pub mod meter;
pub mod orders;
pub mod response;
pub mod scheduler;
