//! The body of an answer on its way to the client's connection.

use std::pin;
use std::rc;
use std::task;

use bytes::Bytes;
use hyper::body;

use super::body as response_body;
use super::client;

/// The body of an answer, which records when the connection has taken it.
#[derive(Debug)]
pub(super) struct ClientBody {
    body: response_body::Body,
    client: rc::Rc<client::Client>,
}

impl ClientBody {
    pub(super) const fn new(body: response_body::Body, client: rc::Rc<client::Client>) -> Self {
        Self { body, client }
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        self.client.record_answered();
    }
}

impl body::Body for ClientBody {
    type Data = Bytes;
    type Error = response_body::BodyError;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, response_body::BodyError>>> {
        pin::Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}
