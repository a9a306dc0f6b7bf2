//! Events that carry a response to the caller's connection.

use azuregap_core::refusal;
use azuregap_wire::run;
use bytes::Bytes;

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FullResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<run::Header>,
    /// Body.
    pub body: Bytes,
}

/// Part of a response, in the order of delivery.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseEvent {
    /// A complete response in one event.
    Full(FullResponse),
    /// Status and headers of a streamed response.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<run::Header>,
    },
    /// Next chunk of a streamed body.
    Data(Bytes),
    /// End of a streamed response.
    End,
    /// The request failed or was refused.
    Failed(refusal::Refusal),
}
