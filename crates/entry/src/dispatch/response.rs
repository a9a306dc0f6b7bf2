//! What a caller's connection is told.

use azuregap_core::refusal;
use azuregap_wire::run;
use bytes::Bytes;

/// An answer as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FullResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<run::Header>,
    /// Body.
    pub body: Bytes,
}

/// What a caller's connection is told, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// The answer as a whole.
    Full(FullResponse),
    /// The start of an answer that comes piece by piece.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<run::Header>,
    },
    /// The next piece.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The job failed or was refused.
    Failed(refusal::Refusal),
}
