//! Frames of a response stream.

use azuregap_core::ids;
use azuregap_core::refusal;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::run;

/// A frame of a response stream from an agent to an entry.
///
/// A complete response consists of `Accepted`, `Head`, any number of `Data` and `Heartbeat`
/// frames, and `End`. Any other sequence is incomplete.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// The agent accepted the request; from now on it may run.
    Accepted {
        /// Request id, which ensures that the response belongs to the request.
        id: ids::RequestId,
        /// Incarnation of the agent, needed for a resume.
        incarnation: ids::Incarnation,
        /// Configuration version of the agent.
        version: ids::Version,
        /// Load of the agent.
        load: Load,
    },
    /// Status and headers of the response.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<run::Header>,
    },
    /// Part of the response body.
    Data {
        /// Offset of the first byte in the response body.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The request is still queued or running.
    Heartbeat {
        /// Load of the agent.
        load: Load,
    },
    /// The response is complete.
    End {
        /// Total length of the response body, in bytes.
        length: u64,
        /// Usage to bill.
        usage: Usage,
        /// Load of the agent.
        load: Load,
    },
    /// The request was rejected or failed.
    Refused {
        /// The reason and whether the request may have run.
        refusal: refusal::Refusal,
        /// Load of the agent.
        load: Load,
    },
}

/// Load of an agent, as measured by the agent itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Estimated number of tokens still to be generated.
    pub backlog: u64,
}

/// Usage of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Number of requests billed.
    pub requests: u64,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of generated tokens.
    pub output: u64,
}
