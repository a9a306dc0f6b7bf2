//! Outcome of recording a message.

/// Outcome of [`crate::membership::Members::record_message`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageOutcome {
    /// First message from the process.
    New,
    /// Message from the known incarnation.
    Known,
    /// Message from a different incarnation: the process has restarted.
    Restarted,
    /// Late message from a former incarnation; ignored.
    Stale,
    /// The member table is full; ignored.
    Full,
}
