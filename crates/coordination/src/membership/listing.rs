//! State of a process in the platform's list.

/// State of a process in the platform's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// The process is not listed, or not yet.
    #[default]
    Absent,
    /// The process is live.
    Live,
    /// The process is leaving.
    Leaving,
}
