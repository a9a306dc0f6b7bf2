//! The entry: takes callers' requests and sees them through.
//!
//! [`identify`] turns a caller's request into a [`job::Job`], [`dispatch`] finds a replica for it
//! and follows its answer over lost and silent connections, [`http`] is the caller API.

pub mod balance;
pub mod daemon;
pub mod dispatch;
pub mod http;
pub mod identify;
pub mod job;
pub mod link;
pub mod reply;
