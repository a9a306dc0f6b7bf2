//! The entry: takes callers' requests and sees them through.
//!
//! [`identify`] turns a caller's request into a [`job::Job`], [`dispatch`] finds a replica for it
//! and follows its answer over lost and silent connections, [`claims`] runs what carries an
//! `Idempotency-Key` at most once, [`http`] is the caller API.

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
