//! Why a request was not run.

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The table service gave no result.
    StoreUnavailable,
    /// No agent took it.
    AgentRefused,
    /// Another process marked the claim as of unknown outcome before it was dispatched.
    MarkedUnknown,
}
