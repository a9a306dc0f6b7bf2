//! Load of a replica.

/// Load of a replica as last reported by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests it can run concurrently.
    pub slots: u32,
    /// Estimated cost in tokens of the requests that run or wait.
    pub backlog: u64,
}
