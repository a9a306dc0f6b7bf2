//! Messages between azuregap processes.
//!
//! Two paths exist. Answers travel over a pooled HTTP connection from entry to agent: the entry
//! posts a [`run::RunRequest`] and the agent streams [`frame::Frame`]s back. Everything else is a
//! [`control::Message`] over nng request and reply sockets ([`socket`]). Both are encoded with
//! postcard.

pub mod codec;
pub mod control;
pub mod frame;
pub mod run;
pub mod socket;

/// Version of the protocol between processes; a greeting with another one is refused.
pub const PROTOCOL: u16 = 1;

/// Largest control message, in bytes.
pub const MAX_MESSAGE: usize = 4 * 1024 * 1024;

/// Largest frame of an answer, in bytes.
pub const MAX_FRAME: usize = 4 * 1024 * 1024;
