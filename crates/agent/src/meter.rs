//! Reads from an engine's answer what is billed.

use azuregap_wire::frame;
use serde::Deserialize;

use crate::answer;

/// Start of a line of a server-sent event that carries data.
const DATA: &[u8] = b"data:";

/// Data of the event that ends a stream of completions.
const DONE: &[u8] = b"[DONE]";

/// Longest line of a stream that is looked at, in bytes; one document is looked at as a whole.
const MAX_LINE: usize = 1024 * 1024;

/// What a completion or one of its chunks says of usage.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    usage: Option<Figures>,
    #[serde(default)]
    choices: Vec<serde::de::IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct Figures {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

/// Counts tokens while an answer passes.
#[derive(Debug)]
pub struct Meter {
    stream: bool,
    line: Vec<u8>,
    usage: frame::Usage,
    told: bool,
    done: bool,
}

impl Meter {
    /// A meter for a stream of events, or for one JSON document.
    #[must_use]
    pub fn new(stream: bool) -> Self {
        let usage = frame::Usage { requests: 1, ..frame::Usage::default() };
        Self { stream, line: Vec::new(), usage, told: false, done: false }
    }

    /// Looks at the next bytes of the answer.
    pub fn push(&mut self, bytes: &[u8]) {
        if !self.stream {
            self.keep(bytes);
            return;
        }
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.keep(part);
            if part.ends_with(b"\n") {
                self.end_line();
            }
        }
    }

    /// Whether the stream said that it is over; always true for one document.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        !self.stream || self.done
    }

    /// What was used so far. Without figures from the engine the chunks are counted.
    #[must_use]
    pub const fn so_far(&self) -> frame::Usage {
        self.usage
    }

    /// What was used, now that the answer is whole.
    #[must_use]
    pub fn finish(mut self) -> frame::Usage {
        if !self.stream {
            let document = std::mem::take(&mut self.line);
            self.read(&document);
        }
        self.usage
    }

    fn keep(&mut self, bytes: &[u8]) {
        let most = if self.stream { MAX_LINE } else { answer::MAX_ANSWER };
        if self.line.len() + bytes.len() <= most {
            self.line.extend_from_slice(bytes);
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let Some(data) = line.strip_prefix(DATA) else { return };
        let data = data.trim_ascii();
        if data == DONE {
            self.done = true;
        } else {
            self.read(data);
        }
    }

    fn read(&mut self, data: &[u8]) {
        let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else { return };
        if let Some(figures) = chunk.usage {
            self.told = true;
            self.usage.prompt = figures.prompt_tokens;
            self.usage.output = figures.completion_tokens;
        } else if self.stream && !self.told {
            self.usage.output += chunk.choices.len() as u64;
        }
    }
}
