//! Why the response of a backend server did not go on, and whether that may be the loss of the server.
//!
//! This is the one answer for whatever was under way: the upload of a request, the head of a response,
//! its body or its events, with and without framing, at the first attempt and at a resumed one.

use std::error::Error as _;
use std::io;

use super::attempt;

/// Why the response of a backend server did not go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Interruption {
    /// The connection ended too early, as it does if the backend server crashes. One that is alive may
    /// end connections too.
    Disconnect(String),
    /// The backend server is silent, or sends what is no response to the request.
    Fault(String),
}

impl Interruption {
    pub(super) fn fault(reason: impl Into<String>) -> Self {
        Self::Fault(reason.into())
    }

    /// What an error of a connection shows.
    pub(super) fn of_error(error: &hyper::Error) -> Self {
        if is_disconnect(error) {
            Self::Disconnect(error.to_string())
        } else {
            Self::Fault(error.to_string())
        }
    }

    /// What the end of a body shows that is not whole. Without a length or chunks it is the end of the
    /// connection too.
    pub(super) fn of_end(framing: attempt::Framing, reason: &str) -> Self {
        match framing {
            attempt::Framing::UntilClose => Self::Disconnect(reason.to_owned()),
            attempt::Framing::Delimited => Self::Fault(reason.to_owned()),
        }
    }

    /// Whether the backend server may have ended.
    pub(super) const fn is_disconnect(&self) -> bool {
        matches!(self, Self::Disconnect(_))
    }

    pub(super) fn reason(&self) -> &str {
        match self {
            Self::Disconnect(reason) | Self::Fault(reason) => reason,
        }
    }
}

/// Whether an error means that the connection has ended, rather than that the backend server is silent
/// or sends bytes that are no response.
fn is_disconnect(error: &hyper::Error) -> bool {
    let io_error = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    let is_other = io_error.is_some_and(|error| {
        let kind = error.kind();
        matches!(
            kind,
            io::ErrorKind::TimedOut | io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        )
    });
    !is_other && !error.is_parse()
}
