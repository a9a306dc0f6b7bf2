//! What direct speech of a process told.

/// What direct speech of a process told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageOutcome {
    /// The process was not known to run before.
    New,
    /// The same incarnation as before.
    Known,
    /// Another incarnation than before: the process restarted.
    Restarted,
    /// A former incarnation; the message is late and changed nothing.
    Stale,
    /// There is no room for another process.
    Full,
}
