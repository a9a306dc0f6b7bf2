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
}
