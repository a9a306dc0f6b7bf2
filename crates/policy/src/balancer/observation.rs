//! What an entry observed of a request that it sent to a replica.

use std::time::Duration;

/// What an entry observed of a request that it sent to a replica.
///
/// After a choice exactly one of `Accepted`, `Cancelled`, `Refused`, `Leaving` and
/// `Unreachable` follows. After
/// `Accepted` come any of `FirstByte` and `Progress`, then one of `Done` and `Interrupted`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The agent took the request.
    Accepted,
    /// It was not sent after all, or what became of it was not waited for.
    Cancelled,
    /// The agent refused it for load or order; the replica is well.
    Refused,
    /// The agent refuses new work because it is leaving.
    Leaving,
    /// No agent or no backend server answered there; nothing ran.
    Unreachable,
    /// The first byte came, or has not come yet, this long after the request was accepted.
    FirstByte {
        /// Time since the request was accepted.
        elapsed: Duration,
    },
    /// Tokens came after the first byte; for a plain service one token is one whole answer.
    Progress {
        /// Tokens since the last such observation; none if the stream is stuck.
        tokens: u32,
        /// Time since the last such observation.
        elapsed: Duration,
    },
    /// The answer ended, or its caller went away.
    Done,
    /// The answer broke off on the replica's side.
    Interrupted,
}
