//! The entry gateway: accepts callers' requests and forwards them to backend servers.
//!
//! [`resolve`] authenticates a caller's request and matches it to a route, which gives a
//! [`job::Job`]. [`dispatch`] selects a replica, receives its response and resumes the response
//! after lost or idle connections. [`claims`] runs requests with an `Idempotency-Key` at most once.
//! [`http`] serves the caller API.

pub mod agent_client;
pub mod attempt_observer;
pub mod claims;
pub mod daemon;
pub mod dispatch;
pub mod http;
pub mod job;
pub mod refusal_response;
pub mod resolve;
pub mod router;
