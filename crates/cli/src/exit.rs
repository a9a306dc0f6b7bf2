//! Exit codes of the command line.

use std::process;

/// How a command ended; the numbers are part of the interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// It was done, or everything checked is sound.
    Done = 0,
    /// Faults were found, or what was asked was refused.
    Faulty = 1,
    /// The command line or its environment is wrong.
    Usage = 2,
    /// The entry cannot be reached or did not answer.
    Unreachable = 3,
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
