//! The way of a request: from the caller's connection to a backend server and back.
//!
//! `hyper` carries both sides, a connection at a time: it tells a caller that leaves while its
//! request runs, an answer that ends early from a whole one, and a request that was never
//! written from one that may have arrived. `actix-web` and `awc` hide these.

mod admit;
mod attempt;
mod body;
mod choice;
mod dispatch;
mod exchange;
mod listener;
pub mod pool;
mod relay;
pub mod sse;
mod ticket;

pub use listener::serve;
