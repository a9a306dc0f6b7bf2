//! Outcome of an update.

/// Outcome of [`crate::configuration::VersionedValue::update`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The version is newer and has replaced the current one.
    Applied,
    /// The version is already the current one.
    Unchanged,
    /// The version is older than the current one and was ignored.
    Stale,
}
