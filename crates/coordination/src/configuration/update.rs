//! What became of an offered version.

/// What became of an offered version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// It is in force now.
    Applied,
    /// It was in force already.
    Unchanged,
    /// A higher version is in force; it was dropped.
    Stale,
}
