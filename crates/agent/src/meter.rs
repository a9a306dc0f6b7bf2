//! Extracts the billed token usage from an engine's response.

use azuregap_wire::frame;
use serde::Deserialize;

use crate::response;

/// Prefix of a data line of a server-sent event.
const DATA_PREFIX: &[u8] = b"data:";

/// Data of the event that ends a completion stream.
const DONE_MARKER: &[u8] = b"[DONE]";

/// Longest parsed line of a stream, in bytes. A response that is one document is parsed whole.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// The parts of a completion, or of a streamed chunk, that determine usage.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    usage: Option<ReportedUsage>,
    #[serde(default)]
    choices: Vec<serde::de::IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct ReportedUsage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

/// Counts tokens while a response is streamed through.
#[derive(Debug)]
pub struct Meter {
    is_stream: bool,
    pending: Vec<u8>,
    usage: frame::Usage,
    has_reported: bool,
    is_done: bool,
}

impl Meter {
    /// Creates a meter for a stream of server-sent events, or else for one JSON document.
    #[must_use]
    pub fn new(is_stream: bool) -> Self {
        let usage = frame::Usage { requests: 1, ..frame::Usage::default() };
        Self { is_stream, pending: Vec::new(), usage, has_reported: false, is_done: false }
    }

    /// Parses the next bytes of the response.
    pub fn push(&mut self, bytes: &[u8]) {
        if !self.is_stream {
            self.buffer(bytes);
            return;
        }
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.buffer(part);
            if part.ends_with(b"\n") {
                self.end_line();
            }
        }
    }

    /// Whether the stream sent its final event; always true for one document.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        !self.is_stream || self.is_done
    }

    /// Usage so far. Until the engine reports token counts, each chunk's choices count as output.
    #[must_use]
    pub const fn usage(&self) -> frame::Usage {
        self.usage
    }

    /// Total usage, after the last byte of the response.
    #[must_use]
    pub fn finish(mut self) -> frame::Usage {
        if !self.is_stream {
            let document = std::mem::take(&mut self.pending);
            self.parse_chunk(&document);
        }
        self.usage
    }

    fn buffer(&mut self, bytes: &[u8]) {
        let limit = if self.is_stream { MAX_LINE_BYTES } else { response::MAX_RESPONSE_BYTES };
        if self.pending.len() + bytes.len() <= limit {
            self.pending.extend_from_slice(bytes);
        }
    }

    fn end_line(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        let Some(data) = pending.strip_prefix(DATA_PREFIX) else { return };
        let data = data.trim_ascii();
        if data == DONE_MARKER {
            self.is_done = true;
        } else {
            self.parse_chunk(data);
        }
    }

    fn parse_chunk(&mut self, data: &[u8]) {
        let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else { return };
        if let Some(reported) = chunk.usage {
            self.has_reported = true;
            self.usage.prompt = reported.prompt_tokens;
            self.usage.output = reported.completion_tokens;
        } else if self.is_stream && !self.has_reported {
            self.usage.output += chunk.choices.len() as u64;
        }
    }
}
