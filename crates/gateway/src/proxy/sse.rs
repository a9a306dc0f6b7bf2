//! Splits a stream of events into whole events.
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

/// Cuts bytes at the ends of events and follows their numbers.
#[derive(Debug)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
    last: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that goes on after an event; events up to it are left out.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self { buffer: BytesMut::new(), scanned: 0, last }
    }

    /// Number of the last whole event.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Takes bytes and returns the whole events that are there now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = self.event_end() {
            let event = self.buffer.split_to(end);
            self.scanned = 0;
            let number = number_of(&event);
            let repeated = number.zip(self.last).is_some_and(|(number, last)| number <= last);
            if !repeated {
                self.last = number.or(self.last);
                whole.extend_from_slice(&event);
            }
        }
        (!whole.is_empty()).then(|| whole.freeze())
    }

    /// Bytes after the last whole event, at the end of a complete stream.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        self.buffer.has_remaining().then(|| self.buffer.split().freeze())
    }

    /// Drops bytes after the last whole event, so that another stream may follow.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    fn event_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(1);
        let found = self.buffer[from..].windows(2).position(|pair| pair == b"\n\n");
        self.scanned = self.buffer.len();
        found.map(|at| from + at + 2)
    }
}

fn number_of(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
