//! How a statement changes what is known about a limit.

/// How a statement changes what is known about a limit, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The run had no limit.
    Named(f64),
    /// The run had another limit.
    Changed(f64),
    /// The run names no limit any more.
    Ended,
}

impl Change {
    /// The limit that is in force now.
    #[must_use]
    pub const fn limit(self) -> Option<f64> {
        match self {
            Self::Named(limit) | Self::Changed(limit) => Some(limit),
            Self::Ended => None,
        }
    }
}
