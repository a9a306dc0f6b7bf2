//! Observations about a request that an entry sent to a replica.

use std::time::Duration;

/// What an entry observed about a request that it sent to a replica.
///
/// Each selection is followed by exactly one of `Accepted`, `Cancelled`, `Refused`, `Leaving` and
/// `Unreachable`. `Accepted` is followed by any number of `FirstByte` and `Progress`, and then by
/// one of `Done` and `Interrupted`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The agent accepted the request.
    Accepted,
    /// The request was not sent, or the entry stopped waiting for the agent to accept it.
    Cancelled,
    /// The agent refused the request, for instance because its queue is full. The replica is
    /// healthy.
    Refused,
    /// The agent refuses new requests because it is leaving.
    Leaving,
    /// The agent or the backend server could not be reached; nothing ran.
    Unreachable,
    /// The first byte arrived, or has not arrived yet, this long after the request was accepted.
    FirstByte {
        /// Time since the request was accepted.
        elapsed: Duration,
    },
    /// Tokens arrived after the first byte. A plain service counts a whole response as one token.
    Progress {
        /// Tokens since the previous observation; 0 if the stream is stalled.
        tokens: u32,
        /// Time since the previous observation.
        elapsed: Duration,
    },
    /// The response is complete, or the client went away.
    Done,
    /// The response was cut off by a failure of the replica.
    Interrupted,
}
