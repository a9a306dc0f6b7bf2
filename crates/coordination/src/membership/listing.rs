//! What the platform's list says of a process.

/// What the platform's list says of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// It is not in the list, or not yet.
    #[default]
    Absent,
    /// It is live.
    Live,
    /// It is leaving.
    Leaving,
}
