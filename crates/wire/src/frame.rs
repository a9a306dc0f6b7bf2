//! Frames of an answer.

use azuregap_core::ids;
use azuregap_core::refusal;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::run;

/// One frame of an answer, from agent to entry.
///
/// A whole answer is `Accepted`, `Head`, any `Data` and `Heartbeat`s, then `End`. Anything else
/// is not a whole answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// The agent took the request; it may run from now on.
    Accepted {
        /// The request, so that an answer can't be taken for another's.
        id: ids::RequestId,
        /// The agent's incarnation, for a resume.
        incarnation: ids::Incarnation,
        /// Version of the configuration the agent has.
        version: ids::Version,
        /// The agent's load.
        load: Load,
    },
    /// Status and headers of the answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<run::Header>,
    },
    /// Bytes of the answer.
    Data {
        /// Position of the first byte in the whole answer.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The request still waits or runs.
    Heartbeat {
        /// The agent's load.
        load: Load,
    },
    /// The answer is whole.
    End {
        /// Length of the whole answer in bytes.
        length: u64,
        /// What is billed.
        usage: Usage,
        /// The agent's load.
        load: Load,
    },
    /// The request was not taken, or failed.
    Refused {
        /// Why, and whether anything ran.
        refusal: refusal::Refusal,
        /// The agent's load.
        load: Load,
    },
}

/// Load of one agent, as it sees it itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots of the backend server.
    pub slots: u32,
    /// Estimated tokens still to be generated.
    pub backlog: u64,
}

/// What a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Requests billed.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Generated tokens.
    pub output: u64,
}
