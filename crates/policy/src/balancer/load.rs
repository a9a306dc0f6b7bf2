//! Load of a replica as its agent reports it.

/// Load of a replica as its agent reported it last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests it can run at once.
    pub slots: u32,
    /// Estimated tokens still to be generated.
    pub backlog: u64,
}
