//! Splits a stream of server-sent events into complete events.
//!
//! ```
//! use azuregap_gateway::proxy::sse;
//!
//! let mut splitter = sse::EventSplitter::new(None);
//! let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
//! assert_eq!(events.as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
//! assert_eq!(splitter.last_id(), Some(1));
//! ```

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;

/// Maximum length of an event in bytes; many times that of the longest real ones. A faulty backend
/// server may send bytes without end.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Reason for which a stream with a longer event fails.
pub const TOO_LONG: &str = "an event of the stream is too long";

/// Splits received bytes at event boundaries and tracks the event ids.
#[derive(Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
    last_id: Option<u64>,
    has_events: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after event `last_id`; events up to that id
    /// are dropped.
    #[must_use]
    pub fn new(last_id: Option<u64>) -> Self {
        Self { buffer: BytesMut::new(), scanned: 0, last_id, has_events: false }
    }

    /// Id of the last complete event.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds received bytes and returns all events that are now complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = self.find_event_end() {
            let event = self.buffer.split_to(end);
            self.scanned = 0;
            self.has_events = true;
            let id = event_id(&event);
            let is_duplicate = id.zip(self.last_id).is_some_and(|(id, last_id)| id <= last_id);
            if !is_duplicate {
                self.last_id = id.or(self.last_id);
                complete.extend_from_slice(&event);
            }
        }
        (!complete.is_empty()).then(|| complete.freeze())
    }

    /// Whether the event that is being received is longer than any real one.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Whether the stream, which has ended, was broken off inside an event. A body that was delimited
    /// and has no event at all is no stream of events.
    #[must_use]
    pub fn is_broken_off(&self, is_delimited: bool) -> bool {
        self.buffer.has_remaining() && (self.has_events || !is_delimited)
    }

    /// Takes the bytes after the last complete event, once the stream has ended normally.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        self.buffer.has_remaining().then(|| self.buffer.split().freeze())
    }

    /// Discards the bytes after the last complete event, so that another stream can continue.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    fn find_event_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(1);
        let found = self.buffer[from..].windows(2).position(|pair| pair == b"\n\n");
        self.scanned = self.buffer.len();
        found.map(|at| from + at + 2)
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
