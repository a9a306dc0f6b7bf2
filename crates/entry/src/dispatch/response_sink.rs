//! Delivery of a response to the caller's connection.

use azuregap_core::refusal;
use azuregap_wire::run;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::mpsc;

use super::response::FullResponse;
use super::response::ResponseEvent;

/// Largest response that is buffered until it is complete, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Streams a response to the caller's connection, or buffers it until it is complete.
///
/// Server-sent events are streamed. Any other response is buffered until it exceeds
/// [`MAX_BUFFERED_BYTES`], so that a failure can still be reported by an HTTP status and the
/// request can be retried.
#[derive(Debug)]
pub(super) struct ResponseSink {
    events: mpsc::Sender<ResponseEvent>,
    /// Whether every response is buffered, whatever its type and length, so that it can be stored.
    buffers_all: bool,
    /// Status and headers while the response is buffered.
    head: Option<(u16, Vec<run::Header>)>,
    body: BytesMut,
    complete: Option<FullResponse>,
    committed: bool,
    offset: u64,
}

/// Whether the caller is still connected.
pub(super) type CallerConnected = bool;

impl ResponseSink {
    /// Creates a sink that sends to `events`. With `buffers_all`, the complete response can be
    /// taken after it has ended.
    pub(super) fn new(events: mpsc::Sender<ResponseEvent>, buffers_all: bool) -> Self {
        let (head, body, complete) = (None, BytesMut::new(), None);
        Self { events, buffers_all, head, body, complete, committed: false, offset: 0 }
    }

    /// Body bytes received so far.
    pub(super) const fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether the status and headers were sent to the caller.
    pub(super) const fn is_committed(&self) -> bool {
        self.committed
    }

    /// Whether the caller has disconnected and the response is not stored for a repeated request.
    pub(super) fn is_abandoned(&self) -> bool {
        self.events.is_closed() && !self.buffers_all
    }

    /// Takes the complete response, if it is to be stored and has ended.
    pub(super) fn take_complete(&mut self) -> Option<FullResponse> {
        self.complete.take()
    }

    /// Discards what was buffered of a failed attempt.
    pub(super) fn reset(&mut self) {
        if !self.committed {
            self.head = None;
            self.body.clear();
            self.offset = 0;
        }
    }

    /// Receives status and headers. A resumed response repeats them; the repetition is ignored.
    pub(super) async fn head(&mut self, status: u16, headers: Vec<run::Header>) -> CallerConnected {
        if self.committed || self.head.is_some() {
            return true;
        }
        if is_event_stream(&headers) && !self.buffers_all {
            self.committed = true;
            return self.send(ResponseEvent::Head { status, headers }).await;
        }
        self.head = Some((status, headers));
        true
    }

    /// Receives the next bytes of the body.
    pub(super) async fn data(&mut self, bytes: Bytes) -> CallerConnected {
        self.offset += bytes.len() as u64;
        if self.head.is_none() {
            return self.send(ResponseEvent::Data(bytes)).await;
        }
        self.body.extend_from_slice(&bytes);
        if self.body.len() <= MAX_BUFFERED_BYTES || self.buffers_all {
            return true;
        }
        let Some((status, headers)) = self.head.take() else { return true };
        self.committed = true;
        let body = self.body.split().freeze();
        self.send(ResponseEvent::Head { status, headers }).await
            && self.send(ResponseEvent::Data(body)).await
    }

    /// Ends the response and sends it, if it is still buffered.
    pub(super) async fn end(&mut self) {
        let Some((status, headers)) = self.head.take() else {
            self.send(ResponseEvent::End).await;
            return;
        };
        let response = FullResponse { status, headers, body: self.body.split().freeze() };
        self.complete = self.buffers_all.then(|| response.clone());
        self.send(ResponseEvent::Full(response)).await;
    }

    /// Sends the caller the stored response of an earlier request.
    pub(super) async fn replay(&self, response: FullResponse) {
        self.send(ResponseEvent::Full(response)).await;
    }

    /// Sends the caller a failure or refusal.
    pub(super) async fn fail(&self, refusal: refusal::Refusal) {
        self.send(ResponseEvent::Failed(refusal)).await;
    }

    async fn send(&self, event: ResponseEvent) -> CallerConnected {
        self.events.send(event).await.is_ok()
    }
}

fn is_event_stream(headers: &[run::Header]) -> bool {
    headers.iter().any(|header| {
        header.name == "content-type" && header.value.starts_with("text/event-stream")
    })
}
