//! Body of a response to a client.

use std::pin;
use std::rc;
use std::task;

use bytes::Bytes;
use hyper::body;
use quick_error::quick_error;
use tokio::sync::mpsc;

use super::guards;

quick_error! {
    /// The response can't be completed; the connection is closed without the end of the body.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// The backend server's response ended early.
        Truncated {
            display("6301: the answer was cut off")
        }
    }
}

/// A complete response body, or a stream of events.
#[derive(Debug)]
pub(super) enum Body {
    /// The complete body; `None` once it has been sent, or if it is empty.
    Complete(Option<Bytes>),
    /// Events of a stream.
    Events {
        events: mpsc::Receiver<Result<Bytes, BodyError>>,
        _active: rc::Rc<guards::ActiveRequest>,
    },
}

impl Body {
    /// Creates a complete body.
    pub(super) fn complete(bytes: Bytes) -> Self {
        Self::Complete((!bytes.is_empty()).then_some(bytes))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Complete(bytes) => task::Poll::Ready(bytes.take().map(body::Frame::data).map(Ok)),
            Self::Events { events, .. } => {
                events.poll_recv(cx).map(|event| event.map(|event| event.map(body::Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Complete(bytes) => {
                body::SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Events { .. } => body::SizeHint::default(),
        }
    }
}
