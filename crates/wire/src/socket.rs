//! nng request/reply sockets for control messages.
//!
//! nng runs callbacks on its own threads; they pass results to the caller's async runtime.
//! [`Client`] and [`Server`] satisfy the requirements of nng: an operation handle
//! ([`nng::Aio`]) is never dropped while its callback may run, and a socket is never closed while
//! an operation is being started.

mod client;
mod error;
mod server;

pub use client::Client;
pub use error::SocketError;
pub use server::RejectedMessage;
pub use server::Server;
