//! Protocol between azuregap processes.
//!
//! There are two channels. To run a caller's request, an entry posts a [`run::RunRequest`] to an
//! agent over a pooled HTTP connection, and the agent streams [`frame::Frame`]s back. All other
//! communication uses [`control::Message`]s over nng request/reply sockets ([`socket`]). Messages
//! on both channels are encoded with postcard.

pub mod codec;
pub mod control;
pub mod frame;
pub mod run;
pub mod socket;

/// Version of the protocol between processes; messages of another version are rejected.
pub const PROTOCOL: u16 = 1;

/// Maximum size of a control message, in bytes.
pub const MAX_MESSAGE: usize = 4 * 1024 * 1024;

/// Maximum size of a response frame, in bytes.
pub const MAX_FRAME: usize = 4 * 1024 * 1024;
