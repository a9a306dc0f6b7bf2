//! Whether a gateway may send a request to a backend server.

use std::time::Duration;

/// Whether a gateway may send a request to a backend server, as far as limits are concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    /// The backend server names no limit.
    Unlimited,
    /// It may send a request after `wait`, and then `pace` requests a second.
    Limited {
        /// Time until the next request may be sent; zero if one may be sent now.
        wait: Duration,
        /// Requests per second that this gateway may send.
        pace: f64,
    },
    /// Other gateways send what the backend server takes.
    Elsewhere,
}

impl Place {
    /// Whether a request may be sent now.
    #[must_use]
    pub const fn is_free(self) -> bool {
        match self {
            Self::Unlimited => true,
            Self::Limited { wait, .. } => wait.is_zero(),
            Self::Elsewhere => false,
        }
    }

    /// What is left if another bound holds beside this one.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unlimited, place) | (place, Self::Unlimited) => place,
            (Self::Elsewhere, _) | (_, Self::Elsewhere) => Self::Elsewhere,
            (
                Self::Limited { wait, pace },
                Self::Limited { wait: other_wait, pace: other_pace },
            ) => Self::Limited { wait: wait.max(other_wait), pace: pace.min(other_pace) },
        }
    }
}
