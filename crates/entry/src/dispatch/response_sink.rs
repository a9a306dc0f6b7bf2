//! The way of an answer to its caller.

use azuregap_core::refusal;
use azuregap_wire::run;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::mpsc;

use super::response::FullResponse;
use super::response::ResponseEvent;

/// Largest answer that is held back until it is whole, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Passes an answer on to the caller's connection, or holds it back until it is whole.
///
/// A stream of events goes out at once. Anything else is held back, so that a failure can still
/// be told by a status and the request tried again, until it grows beyond [`MAX_BUFFERED_BYTES`].
#[derive(Debug)]
pub(super) struct ResponseSink {
    out: mpsc::Sender<ResponseEvent>,
    /// Whether every answer is held back whatever its kind and length, to be stored.
    stores: bool,
    /// Status and headers while they are held back.
    held: Option<(u16, Vec<run::Header>)>,
    kept: BytesMut,
    whole: Option<FullResponse>,
    committed: bool,
    offset: u64,
}

/// Whether the caller is still there.
pub(super) type CallerConnected = bool;

impl ResponseSink {
    /// An sink to `out`; with `stores` the whole answer can be taken once it has ended.
    pub(super) fn new(out: mpsc::Sender<ResponseEvent>, stores: bool) -> Self {
        let (held, kept, whole) = (None, BytesMut::new(), None);
        Self { out, stores, held, kept, whole, committed: false, offset: 0 }
    }

    /// Bytes of the answer received so far.
    pub(super) const fn offset(&self) -> u64 {
        self.offset
    }

    /// Whether the start of the answer went out.
    pub(super) const fn is_committed(&self) -> bool {
        self.committed
    }

    /// Whether nobody waits for the answer, not even a later repeat.
    pub(super) fn is_abandoned(&self) -> bool {
        self.out.is_closed() && !self.stores
    }

    /// The whole answer, if it is to be stored and has ended.
    pub(super) fn take_full(&mut self) -> Option<FullResponse> {
        self.whole.take()
    }

    /// Forgets what was held back of a failed attempt.
    pub(super) fn reset(&mut self) {
        if !self.committed {
            self.held = None;
            self.kept.clear();
            self.offset = 0;
        }
    }

    /// Takes status and headers; a second time, after a resume, they are known.
    pub(super) async fn head(&mut self, status: u16, headers: Vec<run::Header>) -> CallerConnected {
        if self.committed || self.held.is_some() {
            return true;
        }
        if is_event_stream(&headers) && !self.stores {
            self.committed = true;
            return self.send(ResponseEvent::Head { status, headers }).await;
        }
        self.held = Some((status, headers));
        true
    }

    /// Takes the next bytes.
    pub(super) async fn data(&mut self, bytes: Bytes) -> CallerConnected {
        self.offset += bytes.len() as u64;
        if self.held.is_none() {
            return self.send(ResponseEvent::Data(bytes)).await;
        }
        self.kept.extend_from_slice(&bytes);
        if self.kept.len() <= MAX_BUFFERED_BYTES || self.stores {
            return true;
        }
        let Some((status, headers)) = self.held.take() else { return true };
        self.committed = true;
        let kept = self.kept.split().freeze();
        self.send(ResponseEvent::Head { status, headers }).await
            && self.send(ResponseEvent::Data(kept)).await
    }

    /// The answer is whole.
    pub(super) async fn end(&mut self) {
        let Some((status, headers)) = self.held.take() else {
            self.send(ResponseEvent::End).await;
            return;
        };
        let whole = FullResponse { status, headers, body: self.kept.split().freeze() };
        self.whole = self.stores.then(|| whole.clone());
        self.send(ResponseEvent::Full(whole)).await;
    }

    /// Gives the caller the answer of an earlier request.
    pub(super) async fn replay(&self, whole: FullResponse) {
        self.send(ResponseEvent::Full(whole)).await;
    }

    /// Tells the caller that the job failed or was refused.
    pub(super) async fn fail(&self, refusal: refusal::Refusal) {
        self.send(ResponseEvent::Failed(refusal)).await;
    }

    async fn send(&self, event: ResponseEvent) -> CallerConnected {
        self.out.send(event).await.is_ok()
    }
}

fn is_event_stream(headers: &[run::Header]) -> bool {
    headers.iter().any(|header| {
        header.name == "content-type" && header.value.starts_with("text/event-stream")
    })
}
