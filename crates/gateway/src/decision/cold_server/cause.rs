//! Why a backend server is taken to be cold.

/// Why a backend server is taken to be cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its entry says so.
    Entry,
    /// Its run is new.
    NewRun,
    /// A connection to it was refused or lost, so it may have restarted.
    Loss,
    /// Its availability zone was taken back.
    ZoneReturned,
}

impl Cause {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::NewRun => "new run",
            Self::Loss => "connection lost",
            Self::ZoneReturned => "zone taken back",
        }
    }
}
