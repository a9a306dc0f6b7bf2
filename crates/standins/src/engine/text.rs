//! The answer to a request, as a function of the request alone.

use bytes::Bytes;
use xxhash_rust::xxh3;

const WORDS: [&str; 16] = [
    "account", "reserve", "window", "tariff", "storage", "egress", "summary", "credit", "floor",
    "marshal", "stair", "drill", "record", "roster", "exit", "route",
];

/// The whole answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Model that was asked for.
    pub model: String,
    /// Whether it answers a chat.
    pub chat: bool,
    /// The prompt, of a chat all messages joined.
    pub prompt: String,
    /// Tokens it has.
    pub tokens: u32,
}

impl Answer {
    /// Prompt tokens: the words of the prompt.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        u32::try_from(self.prompt.split_whitespace().count()).unwrap_or(u32::MAX)
    }

    /// The text of a token.
    #[must_use]
    pub fn token(&self, i: u32) -> String {
        let hash = xxh3::xxh3_64_with_seed(&i.to_le_bytes(), self.seed());
        format!("{}{} ", WORDS[(hash % 16) as usize], hash >> 8 & 0xff)
    }

    /// The server-sent event that carries a token.
    #[must_use]
    pub fn event(&self, i: u32) -> Bytes {
        let token = self.token(i);
        let choice = match (self.chat, i) {
            (true, 0) => serde_json::json!({"role": "assistant", "content": token}),
            (true, _) => serde_json::json!({"content": token}),
            (false, _) => serde_json::json!(token),
        };
        self.chunk(serde_json::json!([self.choice(choice, None)]), None)
    }

    /// The events after the last token: finish reason, usage and `[DONE]`.
    #[must_use]
    pub fn tail(&self) -> Bytes {
        let empty = if self.chat { serde_json::json!({}) } else { serde_json::json!("") };
        let finish = serde_json::json!([self.choice(empty, Some("length"))]);
        let mut tail = self.chunk(finish, None).to_vec();
        tail.extend(self.chunk(serde_json::json!([]), Some(self.usage())));
        tail.extend(b"data: [DONE]\n\n");
        tail.into()
    }

    /// The whole answer as one JSON document.
    #[must_use]
    pub fn document(&self) -> Bytes {
        let text: String = (0..self.tokens).map(|i| self.token(i)).collect();
        let choice = if self.chat {
            let message = serde_json::json!({"role": "assistant", "content": text});
            serde_json::json!({"index": 0, "message": message, "finish_reason": "length"})
        } else {
            serde_json::json!({"index": 0, "text": text, "finish_reason": "length"})
        };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        let document = serde_json::json!({
            "id": self.id(), "object": object, "created": 0, "model": self.model,
            "choices": [choice], "usage": self.usage(),
        });
        document.to_string().into()
    }

    /// The whole answer as a stream of events.
    #[must_use]
    pub fn stream(&self) -> Bytes {
        let mut all: Vec<u8> = (0..self.tokens).flat_map(|i| self.event(i)).collect();
        all.extend(self.tail());
        all.into()
    }

    /// How many whole token events lie before `offset`, and how many bytes of the next event.
    pub(crate) fn split(&self, offset: u64) -> (u32, usize) {
        let mut left = usize::try_from(offset).unwrap_or(usize::MAX);
        for i in 0..self.tokens {
            let size = self.event(i).len();
            if left < size {
                return (i, left);
            }
            left -= size;
        }
        (self.tokens, left)
    }

    fn seed(&self) -> u64 {
        xxh3::xxh3_64_with_seed(self.prompt.as_bytes(), u64::from(self.tokens))
    }

    fn id(&self) -> String {
        format!("cmpl-{:016x}", self.seed())
    }

    fn usage(&self) -> serde_json::Value {
        let (prompt, output) = (self.prompt_tokens(), self.tokens);
        serde_json::json!({
            "prompt_tokens": prompt, "completion_tokens": output, "total_tokens": prompt + output,
        })
    }

    fn choice(&self, text: serde_json::Value, finish: Option<&str>) -> serde_json::Value {
        let field = if self.chat { "delta" } else { "text" };
        serde_json::json!({"index": 0, field: text, "finish_reason": finish})
    }

    fn chunk(&self, choices: serde_json::Value, usage: Option<serde_json::Value>) -> Bytes {
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        let mut chunk = serde_json::json!({
            "id": self.id(), "object": object, "created": 0, "model": self.model,
            "choices": choices,
        });
        if let Some(usage) = usage {
            chunk["usage"] = usage;
        }
        format!("data: {chunk}\n\n").into()
    }
}
