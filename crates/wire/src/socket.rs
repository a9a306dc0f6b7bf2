//! nng request and reply sockets for control messages.
//!
//! nng runs its own threads; callbacks hand results over to the caller's runtime. What nng asks
//! of its users is kept in [`Client`] and [`Server`]: an operation handle is never dropped while
//! its callback may run, and nothing is closed under an operation that is beginning.

mod client;
mod error;
mod server;

pub use client::Client;
pub use error::SocketError;
pub use server::RejectedMessage;
pub use server::Server;
