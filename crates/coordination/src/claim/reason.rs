//! Reasons for not running a request.

/// Reason why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The table service did not respond or failed.
    StoreUnavailable,
    /// No agent accepted the request.
    AgentRefused,
    /// Another process marked the outcome as unknown before the request was dispatched.
    MarkedUnknown,
}
