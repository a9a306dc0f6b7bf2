//! What a response says about how many requests its backend server takes.

/// What a response says about how many requests its backend server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// It names no limit.
    #[default]
    None,
    /// Requests per second, from all gateways together; finite and not negative.
    PerSecond(f64),
    /// It names a limit that can't be read.
    Unreadable,
}

impl NamedLimit {
    /// The limit for a number of requests per second; a negative one, infinity and what is no number
    /// can't be read.
    #[must_use]
    pub fn from_rate(rate: f64) -> Self {
        if rate.is_finite() && rate >= 0.0 { Self::PerSecond(rate.abs()) } else { Self::Unreadable }
    }
}
