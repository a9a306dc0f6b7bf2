//! Reads from an engine's answer what is billed.

use azuregap_wire::frame;
use serde::Deserialize;

use crate::response;

/// Start of a line of a server-sent event that carries data.
const DATA_PREFIX: &[u8] = b"data:";

/// Data of the event that ends a stream of completions.
const DONE_MARKER: &[u8] = b"[DONE]";

/// Longest line of a stream that is looked at, in bytes; one document is looked at as a whole.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// What a completion or one of its chunks says of usage.
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

/// Counts tokens while an answer passes.
#[derive(Debug)]
pub struct Meter {
    is_stream: bool,
    pending: Vec<u8>,
    usage: frame::Usage,
    has_reported: bool,
    is_done: bool,
}

impl Meter {
    /// A meter for a stream of events, or for one JSON document.
    #[must_use]
    pub fn new(is_stream: bool) -> Self {
        let usage = frame::Usage { requests: 1, ..frame::Usage::default() };
        Self { is_stream, pending: Vec::new(), usage, has_reported: false, is_done: false }
    }

    /// Looks at the next bytes of the answer.
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

    /// Whether the stream said that it is over; always true for one document.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        !self.is_stream || self.is_done
    }

    /// What was used so far. Without figures from the engine the chunks are counted.
    #[must_use]
    pub const fn usage(&self) -> frame::Usage {
        self.usage
    }

    /// What was used, now that the answer is whole.
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
