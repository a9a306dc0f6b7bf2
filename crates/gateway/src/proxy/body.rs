//! Body of an answer to a caller.

use std::pin;
use std::rc;
use std::task;

use bytes::Bytes;
use hyper::body;
use quick_error::quick_error;
use tokio::sync::mpsc;

use super::ticket;

quick_error! {
    /// The answer can't be completed; the connection is closed without its end.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Broken {
        /// The backend server broke off.
        Cut {
            display("6301: the answer was cut off")
        }
    }
}

/// A whole answer, or events as they come.
#[derive(Debug)]
pub(super) enum Body {
    /// All bytes are there.
    Whole(Option<Bytes>),
    /// Events of a stream.
    Events { events: mpsc::Receiver<Result<Bytes, Broken>>, _active: rc::Rc<ticket::Active> },
}

impl Body {
    /// A whole answer.
    pub(super) fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => task::Poll::Ready(bytes.take().map(body::Frame::data).map(Ok)),
            Self::Events { events, .. } => {
                events.poll_recv(cx).map(|event| event.map(|event| event.map(body::Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Whole(bytes) => {
                body::SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Events { .. } => body::SizeHint::default(),
        }
    }
}
